/*
 * Lease, fence and handover of one shard between two back ends, as
 * internal/ownership, internal/coordinator and internal/agent do them.
 * README.md says what is modelled and what not.
 *
 * The control state changes atomically: consensus.pml is about how. Time is
 * counted in ticks of real time; every timer counts down to 0. A back end and
 * the agent beside it have a clock that may miss one tick in LEASE (drift).
 * Frozen processes are those whose steps are not taken for a while.
 */

#ifndef LEASE
#define LEASE 2			/* what the grantor grants, in ticks */
#endif
#ifndef REVISIONS
#define REVISIONS 3		/* of the control state; the first exists at the start */
#endif
#ifndef ELECTIONS
#define ELECTIONS 1		/* changes of leader */
#endif
#ifndef RESTARTS
#define RESTARTS 1		/* of agents */
#endif
#ifndef TIMEOUTS
#define TIMEOUTS 1		/* messages to back ends whose answer is given up */
#endif
#ifndef GIVE_UPS
#define GIVE_UPS 1		/* leases that agents give up */
#endif
#ifdef NO_DRIFT_MARGIN
#define USABLE LEASE
#else
#define USABLE (LEASE - 1)	/* what the holder makes of it */
#endif
#ifndef LOSSES
#define LOSSES 1		/* whether shards are taken from owners without a lease, */
#endif
#ifndef MOVES
#define MOVES 1			/* whether planned moves begin, */
#endif
#ifndef DRIFT
#define DRIFT 1			/* and whether clocks may miss ticks */
#endif
#define UNKNOWN 255		/* an end that is not known */

#define OWNED 0
#define RELEASING 1

/* The control state, by revision; epochs grow with each owner. Revision 0 is
 * that of a process which has none yet. */
byte revision;
byte owner[REVISIONS + 1];
byte epoch[REVISIONS + 1];
byte phase[REVISIONS + 1];
byte revokedAt[2];		/* revision at which the shard was taken without a promise */

/* The leader, which acts only while no other may be elected (consensus). */
bit deposedGrants;		/* broken: the leader before goes on for a tick */
byte settled;			/* time until leases of earlier leaders have ended */
bit attached[2];		/* a session of the present process is open */
byte required[2];		/* revision that this process must have */
bit known[2];			/* a lease is in this leader's table: */
byte holderBoot[2];		/* of which process, */
byte lease[2];			/* and until when */
bit assigning;			/* a batch that takes the shard from its owner is in the log */

/* The agent beside each back end. */
byte boot[2];			/* number of its process */
byte applied[2];		/* revision in force */
bit wants[2];			/* it wants a lease */
byte asked[2];			/* a renewal is on its way: 1 + revision in force at its sending */
byte pending[2];		/* end of the lease if that renewal is granted */
bit answered[2];		/* the grant is on its way back */
byte held[2];			/* its lease */
byte taken[2];			/* epoch that the back end is known to have been granted */
byte offered[2];		/* epoch that it may have been or may yet be granted */
bit replaced[2];		/* grants of the process before are known to be gone */
byte possible[2];		/* until when the back end may act on grants */
bit failed[2];			/* the last message had no answer */
byte releasing[2];		/* epoch whose admission is closed for good */
byte endsBy[2];			/* when its grant has ended, at the latest */
byte promised[2];		/* epoch of the last message Released */

/* A message of grants on its way, and one whose answer the agent has given up. */
bit sent[2], stuck[2];
byte sentEpoch[2], stuckEpoch[2];	/* 0 is none */
bit sentRevokes[2], stuckRevokes[2];
bit sentReplaces[2], stuckReplaces[2];
byte sentUntil[2], stuckUntil[2];

/* The back end. */
byte fence[2];			/* until when it acts on grants */
byte granted[2];		/* epoch, 0 is none */
byte highestSeen[2];
byte running[2];		/* epoch of a request that was admitted and has not ended */

byte highestAdmitted;		/* epoch at which a request was ever admitted */
byte elections = ELECTIONS;
byte restarts = RESTARTS;
byte giveUps = GIVE_UPS;
byte timeouts = TIMEOUTS;
byte missed[2];			/* who missed a tick may not miss another for so long */

#define OTHER(b) (1 - (b))
#define OWNER owner[revision]
#define EPOCH epoch[revision]
#define PHASE phase[revision]
#define OWNS(b) (owner[applied[b]] == b)
#define VIEW_EPOCH(b) epoch[applied[b]]
#define MUST_RELEASE(b) (OWNS(b) && phase[applied[b]] == RELEASING)
#define MAX(x, y) (((x) > (y)) -> (x) : (y))
#define MIN(x, y) (((x) < (y)) -> (x) : (y))

/* ---- time ---- */

inline countDown(timer) {
	if
	:: timer > 0 && timer != UNKNOWN -> timer--
	:: else
	fi
}

inline tickBackend(b) {
	countDown(pending[b]);
	countDown(held[b]);
	countDown(possible[b]);
	countDown(endsBy[b]);
	countDown(fence[b]);
#ifndef GRANT_COUNTS_FROM_RECEIPT
	countDown(sentUntil[b]);
	countDown(stuckUntil[b]);
#endif
}

inline tickRest() {
	countDown(settled);
	countDown(lease[0]);
	countDown(lease[1]);
	countDown(missed[0]);
	countDown(missed[1]);
	deposedGrants = 0
}

proctype clock() {
end:	do
	:: d_step { tickBackend(0); tickBackend(1); tickRest() }
#if DRIFT
	:: d_step { missed[0] == 0 -> tickBackend(1); tickRest(); missed[0] = LEASE }
	:: d_step { missed[1] == 0 -> tickBackend(0); tickRest(); missed[1] = LEASE }
#endif
	od
}

/* ---- the leader ---- */

#ifdef ASSIGNS_BEFORE_LEASE_ENDS
#define LAPSED(b) 1
#else
#define LAPSED(b) ((known[b] && lease[b] == 0) || (!known[b] && settled == 0))
#endif
#ifdef RELEASED_OF_ANY_EPOCH
#define RELEASED_BY_OWNER (promised[OWNER] != 0)
#else
#define RELEASED_BY_OWNER (promised[OWNER] == EPOCH)
#endif
#define MAY_CHANGE (!assigning && revision < REVISIONS)

inline change(newOwner, newPhase, newEpoch) {
	owner[revision + 1] = newOwner;
	phase[revision + 1] = newPhase;
	epoch[revision + 1] = newEpoch;
	revision++;
	printf("revision %d: owner %d, epoch %d, phase %d\n", revision, OWNER, EPOCH, PHASE)
}

inline forgetLease(b) {
	attached[b] = 0;
	required[b] = 0;
	known[b] = 0;
	holderBoot[b] = 0;
	lease[b] = 0;
	asked[b] = 0
}

inline elect() {
	printf("another leader\n");
	elections--;
	forgetLease(0);
	forgetLease(1);
#ifdef DEPOSED_LEADER_GRANTS
	deposedGrants = 1;
#endif
#ifdef NEW_LEADER_DOES_NOT_WAIT
	settled = 0
#else
	settled = LEASE
#endif
}

proctype leader() {
end:	do
	/* What is in the log comes through first, or never. */
	:: d_step { elections > 0 && !assigning -> elect() }
	:: d_step { assigning -> printf("the batch is lost\n"); assigning = 0 }
	:: d_step { LOSSES && MAY_CHANGE && LAPSED(OWNER) -> printf("%d has no lease\n", OWNER); assigning = 1 }
	:: d_step { assigning -> assigning = 0; revokedAt[OWNER] = revision + 1; change(OTHER(OWNER), OWNED, EPOCH + 1) }
	/* A planned move, its completion, and its end without one. */
	:: d_step { MOVES && MAY_CHANGE && PHASE == OWNED -> change(OWNER, RELEASING, EPOCH) }
	:: d_step { MAY_CHANGE && PHASE == RELEASING && RELEASED_BY_OWNER -> change(OTHER(OWNER), OWNED, EPOCH + 1) }
	:: d_step { MAY_CHANGE && PHASE == RELEASING -> change(OWNER, OWNED, EPOCH + 1) }
	od
}

#ifdef RENEWS_WHILE_ASSIGNING
#define BEING_REVOKED(b) 0
#else
#define BEING_REVOKED(b) (assigning && OWNER == b)
#endif
#ifdef RENEWS_STALE_HOLDER
#define KNOWS_REVOCATION(b) 1
#else
#define KNOWS_REVOCATION(b) (asked[b] - 1 >= revokedAt[b])
#endif
#ifdef RENEWS_RESTARTED_HOLDER_AT_ONCE
#define CAUGHT_UP(b) 1
#else
#define CAUGHT_UP(b) (asked[b] - 1 >= required[b])
#endif
#define HELD_BY_OTHER_PROCESS(b) (known[b] && holderBoot[b] != boot[b] && lease[b] > 0)
#define MAY_RENEW(b) (asked[b] && attached[b] && !BEING_REVOKED(b) && KNOWS_REVOCATION(b) && CAUGHT_UP(b) && !HELD_BY_OTHER_PROCESS(b))

inline attach(b) {
	attached[b] = 1;
	if
	:: applied[b] == 0 -> required[b] = revision
	:: else -> required[b] = 1
	fi
}

inline renew(b) {
	printf("%d is granted a lease\n", b);
	asked[b] = 0;
	known[b] = 1;
	holderBoot[b] = boot[b];
	lease[b] = LEASE;
	answered[b] = 1
}

/* ---- the agent and its lease ---- */

inline askLease(b) {
	asked[b] = applied[b] + 1;
	pending[b] = USABLE;
	answered[b] = 0
}

inline takeLease(b) {
	answered[b] = 0;
#ifdef LEASE_COUNTS_FROM_RECEIPT
	held[b] = USABLE;
#else
	held[b] = MAX(held[b], pending[b]);
#endif
	pending[b] = 0
}

/* The lease ends in this process at once; answers on their way are void. */
inline giveUp(b) {
	printf("%d gives its lease up\n", b);
	giveUps--;
	wants[b] = 0;
	held[b] = 0;
#ifndef LATE_ANSWER_TAKEN
	pending[b] = 0
#endif
}

#ifdef RELEASES_LEASE_EARLY
#define GRANTS_ENDED(b) 1
#else
#define GRANTS_ENDED(b) (possible[b] == 0)
#endif
#define MAY_END_LEASE(b) (!wants[b] && held[b] == 0 && attached[b] && GRANTS_ENDED(b) && !(known[b] && lease[b] == 0))

/* The leader is told that the lease is not used any more. */
inline endLease(b) {
	printf("%d ends its lease\n", b);
	asked[b] = 0;
	if
	:: !known[b] || holderBoot[b] == boot[b] ->
		known[b] = 1;
		holderBoot[b] = boot[b];
		lease[b] = 0
	:: else
	fi
}

inline restart(b) {
	printf("agent %d restarts\n", b);
	restarts--;
	boot[b]++;
	attached[b] = 0;
	applied[b] = 0;
	wants[b] = 0;
	asked[b] = 0;
	answered[b] = 0;
	pending[b] = 0;
	held[b] = 0;
	taken[b] = 0;
	offered[b] = 0;
	failed[b] = 0;
	releasing[b] = 0;
	endsBy[b] = 0;
#ifdef RESTART_FORGETS_GRANTS
	possible[b] = 0;
	replaced[b] = 1;
#else
	possible[b] = UNKNOWN;
	replaced[b] = 0;
#endif
	leaveStuck(b)
}

/* ---- the agent and its back end ---- */

#define KEEPS(b) (OWNS(b) && releasing[b] != VIEW_EPOCH(b))
#define GRANTS(b) (held[b] > 0 && OWNS(b) && !MUST_RELEASE(b) && taken[b] != VIEW_EPOCH(b))
#ifdef FORGETS_UNANSWERED_GRANT
#define MAY_HAVE(b) taken[b]
#else
#define MAY_HAVE(b) offered[b]
#endif
#define REVOKES(b) (MAY_HAVE(b) != 0 && !KEEPS(b))
#define UNTIL(b) ((failed[b] && possible[b] > 0) -> MIN(held[b], possible[b]) : held[b])
#define HAS_NEWS(b) (GRANTS(b) || REVOKES(b) || !replaced[b] || held[b] > fence[b] || failed[b])

inline send(b) {
	sent[b] = 1;
	sentEpoch[b] = (GRANTS(b) -> VIEW_EPOCH(b) : 0);
	if
	:: sentEpoch[b] != 0 -> offered[b] = sentEpoch[b]
	:: else
	fi;
	sentRevokes[b] = REVOKES(b);
	sentReplaces[b] = !replaced[b];
	sentUntil[b] = UNTIL(b);
	possible[b] = MAX(possible[b], sentUntil[b])
}

inline forgetSent(b) {
	sent[b] = 0;
	sentEpoch[b] = 0;
	sentRevokes[b] = 0;
	sentReplaces[b] = 0;
	sentUntil[b] = 0
}

inline forgetStuck(b) {
	stuck[b] = 0;
	stuckEpoch[b] = 0;
	stuckRevokes[b] = 0;
	stuckReplaces[b] = 0;
	stuckUntil[b] = 0
}

/* It may still be taken later. */
inline leaveStuck(b) {
	if
	:: sent[b] ->
		stuck[b] = 1;
		stuckEpoch[b] = sentEpoch[b];
		stuckRevokes[b] = sentRevokes[b];
		stuckReplaces[b] = sentReplaces[b];
		stuckUntil[b] = sentUntil[b];
		forgetSent(b)
	:: else
	fi
}

/* The back end takes a message, unless it has seen a higher epoch. */
inline take(b, messageEpoch, messageRevokes, messageReplaces, until) {
	if
	:: messageEpoch == 0 || messageEpoch >= highestSeen[b] ->
		if
		:: messageReplaces || messageRevokes -> granted[b] = 0
		:: else
		fi;
		if
		:: messageEpoch != 0 -> granted[b] = messageEpoch; highestSeen[b] = messageEpoch
		:: else
		fi;
		fence[b] = until
	:: else
	fi
}

inline takeSent(b) {
	take(b, sentEpoch[b], sentRevokes[b], sentReplaces[b], sentUntil[b]);
#ifndef OVERTAKEN_MESSAGE_TAKEN
	forgetStuck(b)
#endif
}

inline noteAnswer(b) {
	if
	:: sentEpoch[b] != 0 && sentEpoch[b] < highestSeen[b]	/* refused */
	:: else ->
		if
		:: sentEpoch[b] != 0 -> taken[b] = sentEpoch[b]
		:: sentEpoch[b] == 0 && sentRevokes[b] -> taken[b] = 0; offered[b] = 0
		:: else
		fi;
		replaced[b] = 1;
		possible[b] = sentUntil[b];
		failed[b] = 0
	fi
}

/* ---- handover ---- */

#ifdef PROMISES_BEFORE_REVOCATION
#define GRANT_GONE(b) 1
#else
#define GRANT_GONE(b) ((replaced[b] && MAY_HAVE(b) == 0) || endsBy[b] == 0)
#endif

inline closeAdmission(b) {
	releasing[b] = VIEW_EPOCH(b);
	endsBy[b] = possible[b]
}

/* ---- requests ---- */

#define ADMITS(b) (held[b] > 0 && OWNS(b) && !MUST_RELEASE(b) && releasing[b] != VIEW_EPOCH(b) && taken[b] == VIEW_EPOCH(b))
#ifdef WRITES_WITHOUT_FENCE
#define FENCE_HOLDS(b) 1
#else
#define FENCE_HOLDS(b) (fence[b] > 0 && granted[b] == running[b])
#endif

inline admit(b) {
	printf("%d admits a request at epoch %d\n", b, VIEW_EPOCH(b));
	/* One owner: no other agent admits, and none has at a higher epoch. */
	assert(!ADMITS(OTHER(b)));
	assert(VIEW_EPOCH(b) >= highestAdmitted);
	highestAdmitted = VIEW_EPOCH(b);
	running[b] = VIEW_EPOCH(b)
}

inline keepWrite(b) {
	printf("%d keeps what a request at epoch %d wrote\n", b, running[b]);
	/* Nothing is written after a later owner began. */
	assert(running[b] >= highestAdmitted);
	running[b] = 0
}

proctype agent(byte b) {
end:	do
	/* The first table of a process is that of a leader, which is the newest. */
#ifdef FIRST_TABLE_IS_OLD
	:: d_step { applied[b] == 0 -> applied[b] = 1; printf("%d begins with an old table\n", b) }
#else
	:: d_step { applied[b] == 0 -> applied[b] = revision; printf("%d begins with revision %d\n", b, revision) }
#endif
	:: d_step { applied[b] > 0 && applied[b] < revision -> applied[b]++; printf("%d has revision %d in force\n", b, applied[b]) }
	:: d_step { !attached[b] -> attach(b); printf("%d opens a session, required %d\n", b, required[b]) }
	:: d_step { !wants[b] -> wants[b] = 1 }
	:: d_step { wants[b] && giveUps > 0 && held[b] > 0 -> giveUp(b) }
	:: d_step { MAY_END_LEASE(b) -> endLease(b) }
	/* A lease is of use to an owner only; others are modelled without. */
	:: d_step { wants[b] && attached[b] && OWNS(b) && pending[b] < USABLE -> askLease(b) }
	:: d_step { MAY_RENEW(b) -> renew(b) }
	:: d_step { deposedGrants && pending[b] > 0 && !answered[b] -> answered[b] = 1 }
#ifdef LATE_ANSWER_TAKEN
	:: d_step { answered[b] -> takeLease(b) }
#else
	:: d_step { answered[b] && wants[b] -> takeLease(b) }
#endif
	:: d_step { restarts > 0 -> restart(b) }
	:: d_step { !sent[b] && HAS_NEWS(b) -> send(b) }
	:: d_step { sent[b] -> takeSent(b); noteAnswer(b); forgetSent(b) }
	:: d_step { sent[b] && timeouts > 0 -> timeouts--; failed[b] = 1; takeSent(b); forgetSent(b) }
	:: d_step { sent[b] && timeouts > 0 -> timeouts--; failed[b] = 1; leaveStuck(b) }
	:: d_step { stuck[b] -> printf("%d takes an old message\n", b); take(b, stuckEpoch[b], stuckRevokes[b], stuckReplaces[b], stuckUntil[b]); forgetStuck(b) }
	:: d_step { MUST_RELEASE(b) && releasing[b] != VIEW_EPOCH(b) -> closeAdmission(b) }
	:: d_step { MUST_RELEASE(b) && releasing[b] == VIEW_EPOCH(b) && promised[b] != releasing[b] && GRANT_GONE(b) ->
		printf("%d promises not to serve epoch %d\n", b, releasing[b]);
		promised[b] = releasing[b]
	   }
	:: d_step { running[b] == 0 && ADMITS(b) -> admit(b) }
	:: d_step { running[b] != 0 && FENCE_HOLDS(b) -> keepWrite(b) }
	:: d_step { running[b] != 0 && !FENCE_HOLDS(b) -> running[b] = 0 }
	od
}

init {
	d_step {
		owner[0] = UNKNOWN;
		revision = 1;
		owner[1] = 0;
		epoch[1] = 1;
		replaced[0] = 1;
		replaced[1] = 1;
		applied[0] = 1;
		applied[1] = 1;
		attached[0] = 1;
		attached[1] = 1;
		required[0] = 1;
		required[1] = 1;
		wants[0] = 1;
		wants[1] = 1;
		settled = LEASE
	}
	atomic {
		run clock();
		run leader();
		run agent(0);
		run agent(1)
	}
}
