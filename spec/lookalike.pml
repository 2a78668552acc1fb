/*
 * A process that only looks dead: a back end whose listener is closed, or in
 * whose place another life listens, and which lives on and holds its keys, as
 * internal/gateway and internal/keylease deal with it. README.md says what is
 * modelled and what not.
 *
 * One key; the lives of one back end at one address, several of which may live
 * at once; the gateway beside it; the leader; and another back end. Time is
 * counted in ticks, and every timer counts down to 0. The control state changes
 * atomically (consensus.pml is about how). What has a lower fence than the
 * key's last change has no effect anywhere (ownership.pml is about that): words
 * of a release are dropped at the change.
 */

#define LIVES 2			/* of the back end */
#ifndef HOLD
#define HOLD 2			/* for how long keys are granted at most, */
#endif
#ifndef LEASE
#define LEASE 3			/* and the leader's lease lasts */
#endif
#define LATE 1			/* an order that was worked out is carried out within so long, or never; */
#ifdef NO_MARGIN
#define MARGIN 0
#else
#define MARGIN LATE		/* the gateway's last grants end so long before its lease, or earlier */
#endif
#define VOID 1			/* the answer to a heartbeat is taken within so long, or never */
#ifndef RESTARTS
#define RESTARTS 1		/* whether the gateway's process may restart, */
#endif
#ifndef ELECTIONS
#define ELECTIONS 1		/* and the leader change, any number of times */
#endif
#ifndef BY_HEARTBEAT
#define BY_HEARTBEAT 0		/* keys come in the answers to a life's own heartbeats */
#endif

#define NONE 0
#define OTHER 255		/* the other back end, as an owner */
#define MAX(x, y) (((x) > (y)) -> (x) : (y))
#define MIN(x, y) (((x) < (y)) -> (x) : (y))

/* ---- the address ---- */

byte lives;			/* so far; they are numbered from 1 */
byte listener;			/* the life that accepts connections */
bit alive[LIVES + 1];
byte hold[LIVES + 1];		/* for how much longer a process holds the key */
bit otherHolds = 1;

#define HOLDERS ((hold[1] > 0) + (hold[2] > 0) + otherHolds)
#define ONE_HOLDER assert(HOLDERS <= 1)

/* ---- between the gateway and the address ---- */

/* An order on its way, and one whose answer was given up or whose gateway ended. */
#define GRANT 1
#define RELEASE 2
byte order, orderLife, orderHold, orderAge;
byte stuckLife, stuckHold, stuckAge;

/* A heartbeat, counting from its sending, and its answer. */
byte beatLife, beatLeft;
bit beatNames;
bit replied;
byte replyLife, replyLeft, replyAge;

/* ---- the gateway ---- */

byte present;			/* the life that it takes for the present one */
bit ended[LIVES + 1];		/* those that it takes for over */
bit suspect;			/* the present one looks dead */
bit told;			/* and the leader was told that it holds nothing */
byte bound;			/* until when the present life may hold what was granted */
bit open;			/* an order to it has no answer, and may be carried out yet */
bit confirmed;			/* it has confirmed an order of this process */
byte formerBound;		/* the same of the lives before, together */
bit formerOpen;
byte earlier;			/* until when grants of an earlier process may be in force */
byte leaseLeft;			/* of the lease in force, counted from the sending of its report */
byte listed;			/* what it says of the key: */
#define NOTHING 0
#define HELD 1
#define ASKED 2			/* to be released, */
#define COVERED 3		/* which may be granted once more for that */
bit leftOut;			/* an answer to a heartbeat has left the key out since */
bit promised;			/* the key was taken back */

/* ---- between the gateway and the leader ---- */

/* A report, and one of an earlier session that is believed (broken). */
byte report, reportLeft;	/* of which life, and what is left of the lease that it asks for */
bit reportReleased, reportNoneBefore, reportPromised;
byte late;
bit lateReleased, lateNoneBefore, latePromised;
/* A lease. */
byte lease, leaseAnswerLeft, leaseLists;

/* ---- the leader ---- */

byte owner = OTHER;
byte known;			/* the present life beside the gateway */
bit gone;			/* it holds nothing and may not be the next owner */
bit over[LIVES + 1];		/* lives that another one followed */
byte leased;			/* until when a lease that lists the key may be in force */
byte move;
#define BEGUN 1			/* no lease lists the key as held */
#define FREE 2			/* its release was promised */
#define PROPOSED 3		/* its next owner is in the log */

/* ---- time ---- */

inline countDown(timer) {
	if
	:: timer > 0 -> timer--
	:: else
	fi
}

inline tick() {
	printf("a tick\n");
	for (l : 1 .. LIVES) { countDown(hold[l]) }
	l = 0;
	countDown(bound); countDown(formerBound); countDown(earlier);
	countDown(leaseLeft);
	countDown(reportLeft); countDown(leaseAnswerLeft);
	countDown(leased);
	if
	:: leaseLeft == 0 && listed == HELD -> listed = NOTHING
	:: leaseLeft == 0 && listed == COVERED -> listed = ASKED
	:: else
	fi;
#if BY_HEARTBEAT
	countDown(beatLeft);
#ifndef ANSWER_COUNTS_FROM_TAKING
	countDown(replyLeft);
#endif
	if
	:: beatLeft == 0 -> forgetBeat()
	:: else
	fi;
	if
	:: replied && replyAge == VOID -> forgetReply()
	:: replied && replyAge < VOID -> replyAge++
	:: else
	fi
#else
	if
	:: order -> orderAge++
	:: else
	fi;
	if
	:: stuckLife && stuckAge == LATE -> forgetStuck()
	:: stuckLife && stuckAge < LATE -> stuckAge++
	:: else
	fi
#endif
}

/* ---- the address ---- */

inline endLife(life) {
	printf("life %d ends\n", life);
	alive[life] = 0;
	hold[life] = 0;
	if
	:: listener == life -> listener = NONE
	:: else
	fi
}

/* ---- orders ---- */

inline forgetOrder() { order = 0; orderLife = 0; orderHold = 0; orderAge = 0 }
inline forgetStuck() { stuckLife = 0; stuckHold = 0; stuckAge = 0 }
inline forgetBeat() { beatLife = 0; beatLeft = 0; beatNames = 0 }
inline forgetReply() { replied = 0; replyLife = 0; replyLeft = 0; replyAge = 0 }

#define LONGEST_HOLD(margin) ((leaseLeft > (margin)) -> MIN(HOLD, leaseLeft - (margin)) : 0)

inline sendGrant(longest) {
	order = GRANT; orderLife = present; orderAge = 0;
	orderHold = MIN(longest, LONGEST_HOLD(MARGIN));
	printf("the gateway works out a grant to life %d for %d\n", present, orderHold);
#ifdef HOLD_COUNTS_FROM_SENDING
	bound = MAX(bound, orderHold)
#endif
}

inline sendRelease() { order = RELEASE; orderLife = present; orderHold = 0; orderAge = 0 }

/* A process takes an order. It refuses orders with lower fences from then on. */
inline carryOut(process) {
	printf("life %d carries out order %d for %d\n", process, order, orderHold);
	if
	:: order == GRANT -> hold[process] = MAX(hold[process], orderHold)
	:: else -> hold[process] = 0
	fi;
	if
	:: stuckLife == process -> forgetStuck()
	:: else
	fi;
	ONE_HOLDER
}

/* The gateway's bound counts from the answer. */
inline noteConfirmed() {
	if
	:: orderLife != present -> noteFormerConfirmed()
	:: orderLife == present && order == GRANT ->
#ifndef HOLD_COUNTS_FROM_SENDING
		bound = MAX(bound, orderHold);
#ifndef COVER_FORGETS_UNANSWERED
		/* One without an answer may have been carried out just before. */
		if
		:: open -> bound = HOLD
		:: else
		fi;
#endif
#endif
		open = 0; confirmed = 1
	:: orderLife == present && order == RELEASE ->
		bound = 0;
		if
		:: listed >= ASKED -> promised = 1
		:: else
		fi
	fi;
	forgetOrder()
}

inline noteFormerConfirmed() {
	if
	:: order == GRANT -> formerBound = MAX(formerBound, orderHold)
	:: else
	fi
}

inline noteUnanswered() {
	printf("the order to life %d has no answer\n", orderLife);
	if
	:: order == GRANT && orderLife == present -> open = 1
	:: order == GRANT && orderLife != present -> formerOpen = 1
	:: else
	fi;
	forgetOrder()
}

/* It may be carried out later. */
inline leaveStuck() {
	if
	:: order == GRANT -> stuckLife = orderLife; stuckHold = orderHold; stuckAge = orderAge
	:: else
	fi
}

/* ---- the gateway ---- */

#ifdef UNANSWERED_OVER_BY_TIME
#define IS_OPEN(x) 0
#else
#define IS_OPEN(x) (x)
#endif
#ifdef ENDS_WITH_ORDER_ON_ITS_WAY
#define ON_ITS_WAY(condition) 0
#else
#define ON_ITS_WAY(condition) (order && (condition))
#endif
/* Nothing that was granted to the present life may be held, by time. */
#define BOUND_OVER (bound == 0 && !IS_OPEN(open) && !ON_ITS_WAY(orderLife == present) && earlier == 0)
#ifdef REFUSAL_ENDS_HOLD
#define DEAD (suspect && (BOUND_OVER || (!order && listener == NONE)))
#else
#define DEAD (suspect && BOUND_OVER)
#endif
#ifdef NEXT_LIFE_ENDS_HOLD
#define NONE_BEFORE (!ON_ITS_WAY(orderLife != present))
#else
#define NONE_BEFORE (formerBound == 0 && !IS_OPEN(formerOpen) && !ON_ITS_WAY(orderLife != present) && earlier == 0)
#endif

inline endLease() { leaseLeft = 0; listed = NOTHING; leftOut = 0; promised = 0 }
inline forgetLease() { lease = 0; leaseAnswerLeft = 0; leaseLists = 0 }
inline forgetReport() { report = 0; reportLeft = 0; reportReleased = 0; reportNoneBefore = 0; reportPromised = 0 }
inline forgetLate() { late = 0; lateReleased = 0; lateNoneBefore = 0; latePromised = 0 }

/* A life is believed to be the present one. What earlier ones may hold is kept
 * in one bound. */
inline follow(life) {
	if
	:: present != NONE -> ended[present] = 1
	:: else
	fi;
	formerBound = MAX(formerBound, bound);
	formerOpen = formerOpen || open;
	present = life;
	printf("the gateway takes life %d for the present one\n", life);
	bound = 0; open = 0; confirmed = 0; suspect = 0; told = 0;
	endLease()
}

inline hearAgain() { printf("the present life is heard\n"); suspect = 0; told = 0 }

inline sendReport() {
	report = present;
	reportReleased = DEAD;
	reportLeft = (reportReleased -> 0 : LEASE);
	reportNoneBefore = NONE_BEFORE;
	reportPromised = promised;
	printf("report of life %d: released %d, none before %d, promised %d\n", report, reportReleased, reportNoneBefore, reportPromised);
	if
	:: reportReleased && !told ->
		told = 1;
#ifndef REVIVED_KEEPS_LEASE
		forgetLease();
#endif
		endLease()
	:: else
	fi;
#ifndef PROMISE_OUTLIVES_LEASE
	/* A lease that was asked for before the promise was told gives nothing. */
	if
	:: reportPromised -> forgetLease()
	:: else
	fi
#endif
}

/* What it asks to be released stays asked for until the next one. */
inline takeLease() {
	printf("the gateway takes a lease of life %d that lists %d\n", lease, leaseLists);
	if
	:: lease == present ->
		if
		:: leaseLists < ASKED -> promised = 0; leftOut = 0
		:: else
		fi;
		listed = leaseLists; leaseLeft = leaseAnswerLeft;
		if
		:: listed == HELD && leaseLeft == 0 -> listed = NOTHING
		:: listed == COVERED && leaseLeft == 0 -> listed = ASKED
		:: else
		fi
	:: else
	fi;
	forgetLease()
}

/* A report that is on its way may come to the leader later. */
inline leaveLate() {
	if
	:: report -> late = report; lateReleased = reportReleased; lateNoneBefore = reportNoneBefore; latePromised = reportPromised
	:: else
	fi
}

/* Another session follows one that ended. The leader passes over what was sent in
 * that one from then on; what it has taken before needs no step of its own. */
inline nextSession(sameProcess) {
	printf("another session\n");
#ifdef OLD_SESSION_BELIEVED
	if
	:: !sameProcess -> leaveLate()
	:: else
	fi;
#endif
#ifdef OWN_OLD_SESSION_BELIEVED
	if
	:: sameProcess -> leaveLate()
	:: else -> forgetLate()
	fi;
#endif
	forgetReport();
	forgetLease()
}

#ifdef RESTART_FORGETS_GRANTS
#define EARLIER_HOLD 0
#else
#ifdef RESTART_WAITS_FOR_HOLD_ONLY
#define EARLIER_HOLD HOLD
#else
#define EARLIER_HOLD (BY_HEARTBEAT -> HOLD : HOLD + LATE)
#endif
#endif

inline restart() {
	printf("the gateway's process restarts\n");
	leaveStuck();
	forgetOrder();
	nextSession(0);
	present = NONE; suspect = 0; told = 0;
	bound = 0; open = 0; confirmed = 0; formerBound = 0; formerOpen = 0;
	endLease();
	for (l : 1 .. LIVES) { ended[l] = 0 }
	l = 0;
	earlier = EARLIER_HOLD
}

/* ---- heartbeats that bring keys ---- */

#ifdef ANY_BEAT_WITHOUT_KEYS_BELIEVED
#define LEFT_OUT 1
#else
#define LEFT_OUT leftOut
#endif

/* The life counts what it is offered from the sending of its heartbeat, and
 * the gateway from its arrival. */
inline answerBeat() {
	replied = 1; replyLife = beatLife; replyLeft = 0; replyAge = 0;
	if
	:: listed == HELD && LONGEST_HOLD(0) > 0 ->
		bound = MAX(bound, LONGEST_HOLD(0));
		replyLeft = ((LONGEST_HOLD(0) + beatLeft > HOLD) -> LONGEST_HOLD(0) + beatLeft - HOLD : 0)
	:: listed >= ASKED && LEFT_OUT && !beatNames -> promised = 1; bound = 0
	:: listed >= ASKED && !leftOut -> leftOut = 1
	:: else
	fi;
	forgetBeat()
}

inline takeReply() {
	printf("life %d takes an answer that offers the key for %d more\n", replyLife, replyLeft);
	hold[replyLife] = replyLeft;
	forgetReply();
	ONE_HOLDER
}

/* ---- the leader ---- */

#define OF_THE_ADDRESS(o) ((o) != OTHER)
#ifdef COVER_AFTER_PROPOSAL
#define MAY_COVER (move == BEGUN || move == PROPOSED)
#else
#define MAY_COVER (move == BEGUN)
#endif

inline learn(life, released, noneBefore, kept) {
	if
	:: known != life ->
		if
		:: known != NONE -> over[known] = 1
		:: else
		fi;
		known = life
	:: else
	fi;
	gone = released;
	if
	:: owner == life && released -> leased = 0
	:: OF_THE_ADDRESS(owner) && owner != life && noneBefore -> leased = 0
	:: owner == life && kept && move == BEGUN -> move = FREE
	:: else
	fi
}

inline answerReport(cover) {
	if
	:: !over[report] ->
		learn(report, reportReleased, reportNoneBefore, reportPromised);
		lease = report; leaseAnswerLeft = reportLeft; leaseLists = NOTHING;
		if
		:: owner == report && !reportReleased && move == 0 -> leaseLists = HELD; leased = LEASE
		:: owner == report && !reportReleased && MAY_COVER && cover -> leaseLists = COVERED; leased = LEASE
		:: owner == report && !reportReleased && move == BEGUN && !cover -> leaseLists = ASKED; leaseAnswerLeft = 0
		:: else -> leaseAnswerLeft = 0
		fi;
		printf("the leader answers a report of life %d with a lease that lists %d\n", lease, leaseLists)
	:: else
	fi;
	forgetReport()
}

/* The answer to it is not taken: one before it is, or none. */
inline takeReportOnly() {
	if
	:: !over[report] ->
		learn(report, reportReleased, reportNoneBefore, reportPromised);
		if
		:: owner == report && !reportReleased && move == 0 -> leased = LEASE
		:: else
		fi
	:: else
	fi;
	forgetReport()
}

inline takeLate() {
	printf("the leader takes a late report of life %d\n", late);
	if
	:: !over[late] ->
		learn(late, lateReleased, lateNoneBefore, latePromised);
		if
		:: owner == late && !lateReleased && move == 0 -> leased = LEASE
		:: else
		fi
	:: else
	fi;
	forgetLate()
}

/* The key has a next owner under a higher fence. */
inline change(next) {
	printf("the owner is %d\n", next);
	owner = next;
	move = 0;
	leased = 0;
	promised = 0; reportPromised = 0; latePromised = 0;
	if
	:: listed >= ASKED -> listed = NOTHING; leaseLeft = 0; leftOut = 0
	:: else
	fi;
	if
	:: leaseLists >= ASKED -> leaseLists = NOTHING; leaseAnswerLeft = 0
	:: else
	fi;
	otherHolds = (next == OTHER);
	ONE_HOLDER
}

inline elect() {
	printf("another leader\n");
	move = 0;
	known = NONE; gone = 0;
	for (l : 1 .. LIVES) { over[l] = 0 }
	l = 0;
	forgetReport(); forgetLate(); forgetLease();
	leased = (owner == OTHER -> 0 : LEASE)
}

active proctype world() {
	byte l;

end:	do
	/* Time passes, unless an order would be carried out too late. */
	:: d_step { !order || orderAge < LATE -> tick() }

	/* The address. Where keys come by heartbeat, a listener decides nothing, and is
	 * left closed. */
	:: d_step { lives < LIVES && listener == NONE -> lives++; alive[lives] = 1; listener = (BY_HEARTBEAT -> NONE : lives); printf("life %d begins\n", lives) }
	:: d_step { listener != NONE -> listener = NONE; printf("nothing listens\n") }
	:: d_step { alive[1] -> endLife(1) }
	:: d_step { alive[2] -> endLife(2) }
#if !BY_HEARTBEAT
	:: d_step { listener == NONE && alive[1] -> listener = 1; printf("life 1 listens again\n") }
	:: d_step { listener == NONE && alive[2] -> listener = 2; printf("life 2 listens again\n") }
#endif

	/* What the gateway hears and guesses. The present life may seem dead, or alive,
	 * at any time, and any other life so far may seem to be the next one. */
	:: d_step { present != NONE && !suspect -> suspect = 1; printf("the present life looks dead\n") }
	:: d_step { suspect -> hearAgain() }
	:: d_step { lives >= 1 && present != 1 && !ended[1] -> follow(1) }
	:: d_step { lives >= 2 && present != 2 && !ended[2] -> follow(2) }
#if RESTARTS
	:: d_step { !order || !stuckLife -> restart() }
#endif

#if BY_HEARTBEAT
	:: d_step { alive[1] && !beatLife -> beatLife = 1; beatLeft = HOLD; beatNames = (hold[1] > 0) }
	:: d_step { alive[2] && !beatLife -> beatLife = 2; beatLeft = HOLD; beatNames = (hold[2] > 0) }
	:: d_step { beatLife && beatLife == present && !replied -> hearAgain(); answerBeat() }
	:: d_step { beatLife -> forgetBeat() }
	:: d_step { replied && alive[replyLife] -> takeReply() }
#else
	/* Orders of the gateway. */
	:: d_step { !order && !suspect && listed == HELD && LONGEST_HOLD(MARGIN) > 0 -> sendGrant(HOLD) }
	:: d_step { !order && !suspect && listed == COVERED && (open || !confirmed) && !promised && LONGEST_HOLD(MARGIN) > 0 -> sendGrant(1) }
	:: d_step { !order && listed >= ASKED && !promised && confirmed && !open -> sendRelease() }
	/* The process takes it, also over a connection from before its listener closed. */
	:: d_step { order && alive[orderLife] -> carryOut(orderLife); noteConfirmed() }
	:: d_step { order && alive[orderLife] -> carryOut(orderLife); noteUnanswered() }
	/* It is surely not carried out: nothing listens, or another life does. */
	:: d_step { order && listener != orderLife -> forgetOrder() }
#ifdef GRANT_TAKEN_BY_ANYONE
	:: d_step { order == GRANT && listener != NONE && listener != orderLife -> carryOut(listener); noteConfirmed() }
#endif
#ifdef RELEASE_BY_ANYONE
	:: d_step { order == RELEASE && listener != NONE && listener != orderLife -> carryOut(listener); noteConfirmed() }
#endif
	/* It is lost, or may be carried out later. */
	:: d_step { order -> noteUnanswered() }
	:: d_step { order == GRANT && !stuckLife -> leaveStuck(); noteUnanswered() }
	:: d_step { stuckLife && alive[stuckLife] -> printf("life %d takes a late grant for %d\n", stuckLife, stuckHold); hold[stuckLife] = MAX(hold[stuckLife], stuckHold); forgetStuck(); ONE_HOLDER }
#endif
	:: d_step { listed >= ASKED && !promised && BOUND_OVER -> promised = 1 }

	/* Sessions. */
	:: d_step { report || lease -> nextSession(1) }
	:: d_step { !report && present != NONE -> sendReport() }
	:: d_step { report && !lease -> answerReport(0) }
	:: d_step { report && !lease -> answerReport(1) }
	:: d_step { report && lease -> takeReportOnly() }
	:: d_step { late -> takeLate() }
	:: d_step { lease -> takeLease() }

	/* The leader. It may want to move the key at any time. */
	:: d_step { owner == OTHER && known != NONE && !gone -> change(known) }
	:: d_step { OF_THE_ADDRESS(owner) && move == 0 -> move = BEGUN; printf("a move begins\n") }
	:: d_step { (move == BEGUN && leased == 0) || move == FREE -> move = PROPOSED; printf("the next owner is proposed\n") }
	:: d_step { move == PROPOSED -> change(OTHER) }
	:: d_step { move == PROPOSED && known != NONE && known != owner && !gone -> change(known) }
	:: d_step { move == PROPOSED -> move = 0; printf("the proposal is lost\n") }
#if ELECTIONS
	:: d_step { move != PROPOSED -> elect() }
#endif
	od
}
