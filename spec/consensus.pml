/*
 * Election, commit, membership change and lost disks, as internal/consensus
 * does them. README.md says what is modelled and what is not.
 *
 * Replicas 0..N-1 are identities: a replica identity and the incarnation of its
 * data folder. An identity whose disk is lost is gone for good; the machine comes
 * back as another one, here the spare, which starts blank and outside the
 * membership.
 *
 * Messages are never taken out once sent, so that each may be lost, late,
 * repeated or overtaken. What a leader of a term sends is always a part of the
 * log that it had in that term; it is kept in sent.
 */

#ifndef TERMS
#define TERMS 3
#endif
#ifndef LOG
#define LOG 5
#endif
#ifndef ELECTIONS
#define ELECTIONS 6		/* times that a replica asks for votes */
#endif
#ifndef HIGHEST_ASKED
#define HIGHEST_ASKED 0		/* "highest": no two candidates in one term */
#endif
#ifndef COMMANDS
#define COMMANDS 0		/* commands besides the entry that begins a term */
#endif
#ifndef CHANGES
#define CHANGES 3		/* membership changes */
#endif
#ifndef CRASHES
#define CRASHES 1		/* restarts that lose what is not synced */
#endif
#ifndef LOSSES
#define LOSSES 2		/* lost disks; the second only after the repair */
#endif
#ifndef FOUNDERS
#define FOUNDERS 7		/* set of the first voters */
#endif
#ifndef SPARE
#define SPARE 3			/* the identity that may be added; 255: none */
#endif
#ifndef N
#define N 4
#endif

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2
#define GONE 3

/* Sets of replicas are bits; a membership is voters and, shifted, learners. */
#define BIT(r) (1 << (r))
#define VOTERS(membership) ((membership) & 15)
#define LEARNERS(membership) ((membership) >> 4)
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
#define QUORUM(set) (COUNT(set) / 2 + 1)

byte term[N];
byte vote[N];			/* 0 is nobody, else replica + 1 */
byte role[N];
byte length[N];
byte synced[N];			/* durable part of the log */
byte membership[N];		/* the last in the log, in force once appended */
byte membershipAt[N];
byte commit[N];			/* at a leader, within its term */
byte firstIndex[N];		/* at a leader, the entry that began its term */

/* Logs from index 1; change is the membership of an entry, 0 for others. */
#define AT(r, i) ((r) * (LOG + 1) + (i))
byte entryTerm[N * (LOG + 1)];
byte entryChange[N * (LOG + 1)];

/* By term and replica. */
#define OF(t, r) (((t) - 1) * N + (r))
byte askedIndex[TERMS * N];	/* a candidate's request for votes: */
byte askedTerm[TERMS * N];	/* its last entry */
byte granted[TERMS * N];	/* who voted for the candidate */
byte acknowledged[TERMS * N];	/* durable here, as told to the term's leader */

byte leader[TERMS + 1];		/* 0 is none, else replica + 1 */
byte sentLength[TERMS + 1];
byte sentTerm[(TERMS + 1) * (LOG + 1)];
byte sentChange[(TERMS + 1) * (LOG + 1)];

/* What was ever committed. */
byte committedLength;
byte committedTerm[LOG + 1];
byte committedChange[LOG + 1];
byte committedBy[LOG + 1];	/* the least term whose leader committed it */

byte elections = ELECTIONS;
byte highest;			/* term in which votes were asked */
byte commands = COMMANDS;
byte changes = CHANGES;
byte crashes = CRASHES;
byte losses = LOSSES;
byte asked;			/* who has ever asked for votes */
byte lostSet;			/* identities without a disk */
bit repaired = 1;		/* no loss is unrepaired, as far as is reported */

hidden byte i, j, found;

inline noteMembership(r) {
	membership[r] = FOUNDERS;
	membershipAt[r] = 0;
	for (i : 1 .. length[r]) {
		if
		:: entryChange[AT(r, i)] -> membership[r] = entryChange[AT(r, i)]; membershipAt[r] = i
		:: else
		fi
	}
}

inline forgetLeading(r) {
	commit[r] = 0;
	firstIndex[r] = 0
}

/* The log of the term's leader is what it sends. */
inline publish(r) {
	for (i : 1 .. length[r]) {
		sentTerm[AT(term[r], i)] = entryTerm[AT(r, i)];
		sentChange[AT(term[r], i)] = entryChange[AT(r, i)]
	}
	sentLength[term[r]] = length[r];
#if CRASHES == 0
	/* Without crashes it makes no difference when its own disk is done. */
	synced[r] = length[r];
	acknowledged[OF(term[r], r)] = length[r]
#endif
}

inline appendOwn(r, changed) {
	length[r]++;
	entryTerm[AT(r, length[r])] = term[r];
	entryChange[AT(r, length[r])] = changed;
	if
	:: changed -> membership[r] = changed; membershipAt[r] = length[r]
	:: else
	fi;
#ifdef LEADER_COUNTS_UNSYNCED
	acknowledged[OF(term[r], r)] = length[r];
#endif
	publish(r)
}

#define LAST_TERM(r) entryTerm[AT(r, length[r])]	/* of an empty log 0 */
#define MAY_APPEND(r) (role[r] == LEADER && length[r] < LOG)
#define IS_VOTER(r) (VOTERS(membership[r]) & BIT(r))

/* Founders are alike: who asks first may be called 0, who asks second 1. */
#define IN_TURN(r) (r == SPARE || r == 0 || (asked & BIT(r - 1)))

inline startVote(r, t) {
	elections--;
	asked = asked | BIT(r);
	term[r] = t;
	if
	:: t > highest -> highest = t
	:: else
	fi;
	vote[r] = r + 1;
	role[r] = CANDIDATE;
	forgetLeading(r);
	askedIndex[OF(term[r], r)] = length[r];
	askedTerm[OF(term[r], r)] = LAST_TERM(r);
	granted[OF(term[r], r)] = BIT(r)
}

#ifdef VOTE_IGNORES_LOG
#define UP_TO_DATE(r, t, c) 1
#else
#define UP_TO_DATE(r, t, c) (askedTerm[OF(t, c)] > LAST_TERM(r) || \
	(askedTerm[OF(t, c)] == LAST_TERM(r) && askedIndex[OF(t, c)] >= length[r]))
#endif
#define FREE_TO_VOTE(r, t, c) (t > term[r] || (t == term[r] && role[r] == FOLLOWER && (vote[r] == 0 || vote[r] == c + 1)))
/* A vote for who no longer stands has no effect but that other messages are not
 * taken, as if they were lost; it is left out. */
#define STANDS(t, c) (role[c] == CANDIDATE && term[c] == t)
#define MAY_VOTE(r, t, c) (r != c && role[r] != GONE && STANDS(t, c) && \
	!(granted[OF(t, c)] & BIT(r)) && FREE_TO_VOTE(r, t, c) && UP_TO_DATE(r, t, c))

inline giveVote(r, t, c) {
	if
	:: t > term[r] -> term[r] = t; role[r] = FOLLOWER; forgetLeading(r)
	:: else
	fi;
	vote[r] = c + 1;
	granted[OF(t, c)] = granted[OF(t, c)] | BIT(r)
}

#define VOTES(r) COUNT(granted[OF(term[r], r)] & VOTERS(membership[r]))
#define MAY_LEAD(r) (role[r] == CANDIDATE && VOTES(r) >= QUORUM(VOTERS(membership[r])))

inline beginLeading(r) {
	/* Election safety: at most one leader in a term. */
	assert(leader[term[r]] == 0);
	/* Leader completeness: it holds all that leaders of earlier terms committed. */
	for (i : 1 .. committedLength) {
		assert(committedBy[i] >= term[r] || (i <= length[r] && entryTerm[AT(r, i)] == committedTerm[i]))
	}
	leader[term[r]] = r + 1;
	role[r] = LEADER;
	commit[r] = 0;
	firstIndex[r] = length[r] + 1;
	if
	:: length[r] < LOG -> appendOwn(r, 0)
	:: else -> publish(r)
	fi
}

#if N > 3
#define ACKNOWLEDGED_BY_FOURTH(t, k) (acknowledged[OF(t, 3)] >= k)
#else
#define ACKNOWLEDGED_BY_FOURTH(t, k) 0
#endif
#define DURABLE(t, k) ((acknowledged[OF(t, 0)] >= k) | ((acknowledged[OF(t, 1)] >= k) << 1) | \
	((acknowledged[OF(t, 2)] >= k) << 2) | (ACKNOWLEDGED_BY_FOURTH(t, k) << 3))
#ifdef LEARNER_COUNTS
#define COUNTED(membership) (VOTERS(membership) | LEARNERS(membership))
#else
#define COUNTED(membership) VOTERS(membership)
#endif
#ifdef COMMITS_EARLIER_TERM
#define COMMITTABLE(r, k) 1
#else
#define COMMITTABLE(r, k) (entryTerm[AT(r, k)] == term[r])
#endif
#define MAY_COMMIT(r, k) (role[r] == LEADER && k <= length[r] && k > commit[r] && COMMITTABLE(r, k) && \
	COUNT(DURABLE(term[r], k) & COUNTED(membership[r])) >= QUORUM(VOTERS(membership[r])))

inline commitTo(r, k) {
	commit[r] = k;
	for (i : 1 .. k) {
		if
		:: i <= committedLength ->
			/* State machine safety: nothing committed is ever replaced. */
			assert(committedTerm[i] == entryTerm[AT(r, i)]);
			assert(committedChange[i] == entryChange[AT(r, i)]);
			if
			:: committedBy[i] > term[r] -> committedBy[i] = term[r]
			:: else
			fi
		:: else ->
			committedBy[i] = term[r];
			committedTerm[i] = entryTerm[AT(r, i)];
			committedChange[i] = entryChange[AT(r, i)];
			committedLength = i
		fi
	}
	if
	:: membershipAt[r] <= k && !repaired && (VOTERS(membership[r]) & BIT(SPARE)) &&
	   !(VOTERS(membership[r]) & lostSet) -> repaired = 1
	:: else
	fi;
	/* It leaves once its own removal is committed. */
	if
	:: membershipAt[r] <= k && !IS_VOTER(r) -> role[r] = FOLLOWER; forgetLeading(r)
	:: else
	fi
}

/* Everything of the leader's log up to k; whether it comes in one message or
 * several, and from where on, makes no difference where the logs match. */
#define MAY_RECEIVE(r, t, k) (role[r] != GONE && leader[t] && leader[t] != r + 1 && k <= sentLength[t] && \
	t >= term[r] && k > acknowledged[OF(t, r)])

inline receive(r, t, k) {
	if
	:: t > term[r] -> term[r] = t; vote[r] = 0
	:: else
	fi;
	role[r] = FOLLOWER;
	forgetLeading(r);
	found = 0;	/* set once the logs differ */
#ifdef APPENDS_WITHOUT_MATCH
	for (i : length[r] + 1 .. k) {
		entryTerm[AT(r, i)] = sentTerm[AT(t, i)];
		entryChange[AT(r, i)] = sentChange[AT(t, i)]
	}
	if
	:: length[r] < k -> length[r] = k
	:: else
	fi;
#else
	for (i : 1 .. k) {
		if
		:: found || i > length[r] || entryTerm[AT(r, i)] != sentTerm[AT(t, i)] ->
			found = 1;
			entryTerm[AT(r, i)] = sentTerm[AT(t, i)];
			entryChange[AT(r, i)] = sentChange[AT(t, i)]
		:: else
		fi
	}
	if
	:: found ->
		for (i : k + 1 .. length[r]) {
			entryTerm[AT(r, i)] = 0;
			entryChange[AT(r, i)] = 0
		}
		length[r] = k
	:: else
	fi;
#endif
	noteMembership(r);
#ifdef ACKNOWLEDGES_BEFORE_SYNC
	if
	:: synced[r] > length[r] -> synced[r] = length[r]
	:: else
	fi;
#else
	synced[r] = length[r];
#endif
#ifdef ACKNOWLEDGES_WHOLE_LOG
	acknowledged[OF(t, r)] = length[r]
#else
	acknowledged[OF(t, r)] = k
#endif
}

inline sync(r) {
	synced[r] = length[r];
	acknowledged[OF(term[r], r)] = length[r]
}

/* Other restarts are as if the replica were silent. */
#ifdef VOTE_NOT_SYNCED
#define LOSES_BY_CRASH(r) (vote[r] != 0)
#else
#define LOSES_BY_CRASH(r) (synced[r] < length[r])
#endif

inline crash(r) {
	crashes--;
	role[r] = FOLLOWER;
	for (i : synced[r] + 1 .. length[r]) {
		entryTerm[AT(r, i)] = 0;
		entryChange[AT(r, i)] = 0
	}
	length[r] = synced[r];
	noteMembership(r);
#ifdef VOTE_NOT_SYNCED
	vote[r] = 0;
#endif
	forgetLeading(r)
}

/* A tolerated loss leaves what was committed on a disk that is left. */
inline checkSurvives() {
	found = 0;
	for (j : 0 .. N - 1) {
		if
		:: role[j] != GONE && synced[j] >= committedLength && (committedLength == 0 ||
		   entryTerm[AT(j, committedLength)] == committedTerm[committedLength]) -> found = 1
		:: else
		fi
	}
	assert(found)
}

inline loseDisk(r) {
	losses--;
	repaired = 0;
	for (i : 1 .. length[r]) {
		entryTerm[AT(r, i)] = 0;
		entryChange[AT(r, i)] = 0
	}
	length[r] = 0;
	synced[r] = 0;
	term[r] = 0;
	vote[r] = 0;
	membership[r] = FOUNDERS;
	membershipAt[r] = 0;
	forgetLeading(r);
#ifdef LOST_DISK_KEEPS_IDENTITY
	role[r] = FOLLOWER;
#else
	role[r] = GONE;
	lostSet = lostSet | BIT(r);
#endif
	checkSurvives()
}

#ifdef CHANGE_BEFORE_TERM_COMMITTED
#define TERM_COMMITTED(r) 1
#else
#define TERM_COMMITTED(r) (commit[r] >= firstIndex[r])
#endif
#ifdef TWO_CHANGES_AT_ONCE
#define NO_CHANGE_IN_PROGRESS(r) 1
#else
#define NO_CHANGE_IN_PROGRESS(r) (membershipAt[r] <= commit[r])
#endif
#define MAY_CHANGE(r) (MAY_APPEND(r) && changes > 0 && TERM_COMMITTED(r) && NO_CHANGE_IN_PROGRESS(r))

#define MAY_ADD_LEARNER(r) (MAY_CHANGE(r) && SPARE != 255 && !((VOTERS(membership[r]) | LEARNERS(membership[r])) & BIT(SPARE)))
#define MAY_PROMOTE(r) (MAY_CHANGE(r) && SPARE != 255 && (LEARNERS(membership[r]) & BIT(SPARE)) && \
	acknowledged[OF(term[r], SPARE)] >= commit[r])
/* Operators remove who lost its disk; without a spare anyone. */
#define MAY_REMOVE(r, x) (MAY_CHANGE(r) && (VOTERS(membership[r]) & BIT(x)) && COUNT(VOTERS(membership[r])) > 1 && \
	(SPARE == 255 || (lostSet & BIT(x))))

inline addLearner(r) {
	changes--;
	appendOwn(r, (membership[r] | (BIT(SPARE) << 4)))
#ifdef REPAIR_REPORTED_EARLY
	;
	repaired = 1
#endif
}

inline promote(r) {
	changes--;
	appendOwn(r, (VOTERS(membership[r]) | BIT(SPARE)))
}

inline remove(r, x) {
	changes--;
	appendOwn(r, (membership[r] & (255 - BIT(x))))
}

/* It may have heard of any term before, and stepped down where it led. */
#define ASK(t) :: d_step { (t <= TERMS && role[r] != GONE && term[r] < t && HIGHEST_ASKED < t && elections > 0 && \
	IS_VOTER(r) && IN_TURN(r)) -> printf("%d asks for votes in term %d\n", r, t); startVote(r, t) }
#define REMOVE(x) :: d_step { MAY_REMOVE(r, x) -> printf("%d removes %d\n", r, x); remove(r, x) }
#define VOTE(t, c) :: d_step { (t <= TERMS && MAY_VOTE(r, t, c)) -> printf("%d votes for %d in term %d\n", r, c, t); giveVote(r, t, c) }
#define RECEIVE(t, k) :: d_step { (t <= TERMS && k <= LOG && MAY_RECEIVE(r, t, k)) -> printf("%d receives the log of term %d up to %d\n", r, t, k); receive(r, t, k) }
#define COMMIT(k) :: d_step { (k <= LOG && MAY_COMMIT(r, k)) -> printf("%d commits up to %d\n", r, k); commitTo(r, k) }

#if N > 3
#define VOTES_OF_TERM(t) VOTE(t, 0) VOTE(t, 1) VOTE(t, 2) VOTE(t, 3)
#define REMOVE_ANY REMOVE(0) REMOVE(1) REMOVE(2) REMOVE(3)
#else
#define VOTES_OF_TERM(t) VOTE(t, 0) VOTE(t, 1) VOTE(t, 2)
#define REMOVE_ANY REMOVE(0) REMOVE(1) REMOVE(2)
#endif
#if LOG >= 6
#define RECEIVE_OF_TERM(t) RECEIVE(t, 1) RECEIVE(t, 2) RECEIVE(t, 3) RECEIVE(t, 4) RECEIVE(t, 5) RECEIVE(t, 6)
#elif LOG >= 5
#define RECEIVE_OF_TERM(t) RECEIVE(t, 1) RECEIVE(t, 2) RECEIVE(t, 3) RECEIVE(t, 4) RECEIVE(t, 5)
#elif LOG >= 4
#define RECEIVE_OF_TERM(t) RECEIVE(t, 1) RECEIVE(t, 2) RECEIVE(t, 3) RECEIVE(t, 4)
#else
#define RECEIVE_OF_TERM(t) RECEIVE(t, 1) RECEIVE(t, 2) RECEIVE(t, 3)
#endif

proctype replica(byte r) {
end:	do
	:: d_step { MAY_LEAD(r) -> printf("%d leads term %d\n", r, term[r]); beginLeading(r) }
	:: d_step { (MAY_APPEND(r) && commands > 0) -> printf("%d appends a command\n", r); commands--; appendOwn(r, 0) }
	:: d_step { (role[r] == LEADER && synced[r] < length[r]) -> printf("%d syncs up to %d\n", r, length[r]); sync(r) }
#ifdef ACKNOWLEDGES_BEFORE_SYNC
	:: d_step { (role[r] == FOLLOWER && synced[r] < length[r]) -> synced[r] = length[r] }
#endif
	:: d_step { MAY_ADD_LEARNER(r) -> printf("%d adds the spare as a learner\n", r); addLearner(r) }
	:: d_step { MAY_PROMOTE(r) -> printf("%d makes the spare a voter\n", r); promote(r) }
	REMOVE_ANY
	:: d_step { (role[r] != GONE && crashes > 0 && LOSES_BY_CRASH(r)) -> printf("%d restarts\n", r); crash(r) }
	:: d_step { (role[r] != GONE && r != SPARE && losses > 0 && repaired && term[r] > 0) -> printf("%d loses its disk\n", r); loseDisk(r) }
	ASK(1)
	VOTES_OF_TERM(1)
	RECEIVE_OF_TERM(1)
#if TERMS >= 2
	ASK(2)
	VOTES_OF_TERM(2)
	RECEIVE_OF_TERM(2)
#endif
#if TERMS >= 3
	ASK(3)
	VOTES_OF_TERM(3)
	RECEIVE_OF_TERM(3)
#endif
#if TERMS >= 4
	ASK(4)
	VOTES_OF_TERM(4)
	RECEIVE_OF_TERM(4)
#endif
	COMMIT(1) COMMIT(2) COMMIT(3)
#if LOG >= 4
	COMMIT(4)
#endif
#if LOG >= 5
	COMMIT(5)
#endif
#if LOG >= 6
	COMMIT(6)
#endif
	od
}

init {
	d_step {
		for (i : 0 .. N - 1) {
			membership[i] = FOUNDERS
		}
	}
	atomic {
		run replica(0);
		run replica(1);
		run replica(2);
#if N > 3
		run replica(3);
#endif
	}
}
