/*
 * Elections where all replicas have started anew, as internal/consensus/coldstart.go
 * holds them, beside ordinary ones and the leader lease. README.md says what is
 * modelled and what not.
 *
 * Logs are equal and left out. Time is not counted: expire() stands for the time
 * after which what a leader was promised is over, its lease first, and a process
 * that has started waits until nothing that earlier ones promised is in force.
 */

#ifndef N
#define N 3
#endif
#define QUORUM (N / 2 + 1)
#ifndef RESTARTS
#define RESTARTS 3		/* of all replicas together */
#endif
#ifndef TERMS
#define TERMS 2
#endif
#ifndef ROUNDS
#define ROUNDS 1		/* of pre-votes, of all processes together */
#endif
#ifndef ASKERS
#define ASKERS N		/* how many replicas hold rounds */
#endif

#ifdef MAJORITY_IS_ENOUGH
#define ENOUGH_TOLD QUORUM
#else
#define ENOUGH_TOLD N
#endif

#define BIT(r) (1 << (r))
#define HAS(set, r) (((set) >> (r)) & 1)
#define WITHOUT(set, r) ((set) & ~BIT(r))

/* Durable: the highest term, in which a replica votes once at the most. */
byte term[N];

/* A process. Sets have a bit for each replica. */
byte seen;			/* those that have led or heard a leader */
byte waits;			/* those that wait for what an earlier process may have promised */
byte lease;			/* the leaders that hold one */
byte lead[N];			/* the term in which it leads */
byte promisedHere[N];		/* the leaders whose heartbeats it has answered */
byte acknowledged[N];		/* who has answered its heartbeats */
byte standing;			/* those that stand for election in their term */
byte unled;			/* those that do since all have started anew */
byte votes[N];

/* Rounds of pre-votes, and what is on its way. */
byte asking;			/* those that hold one */
byte begun[N];			/* whose processes are those that ran as the round began */
byte answered[N];		/* who says that it knows of no leader */
byte answeredStill[N];		/* those of them whose processes still run */
byte told[N];			/* who is known to have said so */
byte toldStill[N];		/* those of them whose processes still run */
byte voting[N];			/* whose votes are on their way */
byte votingStill[N];		/* those of them whose processes were told of */

/* What processes have promised, also those that have ended. */
byte promised[N];

byte restarts, rounds;
byte c, v, r, count;

inline size(set) {
	count = ((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1)
}

inline oneLease() {
	size(lease);
	assert(count <= 1)
}

inline endRound(q) {
	asking = WITHOUT(asking, q);
	begun[q] = 0;
	answered[q] = 0;
	answeredStill[q] = 0;
	told[q] = 0
}

inline stopStanding(q) {
	standing = WITHOUT(standing, q);
	unled = WITHOUT(unled, q);
	votes[q] = 0;
	voting[q] = 0;
	votingStill[q] = 0;
	toldStill[q] = 0
}

inline follow(q) {
	lead[q] = 0;
	lease = WITHOUT(lease, q);
	acknowledged[q] = 0;
	stopStanding(q)
}

inline beginRound() {
	rounds++;
	asking = asking | BIT(c);
	begun[c] = BIT(N) - 1;
	told[c] = 0;
	toldStill[c] = 0;
#ifndef EARLIER_ROUNDS_COUNT
	answered[c] = 0;
	answeredStill[c] = 0
#endif
}

inline stand(sinceAllStartedAnew) {
	term[c]++;
	standing = standing | BIT(c);
	unled = WITHOUT(unled, c) | (sinceAllStartedAnew << c);
	votes[c] = BIT(c);
	voting[c] = 0;
	votingStill[c] = 0;
	endRound(c)
}

inline restart() {
	restarts++;
	seen = WITHOUT(seen, c);
	waits = waits | BIT(c);
	promisedHere[c] = 0;
	follow(c);
	endRound(c);
	r = 0;
	do
	:: r < N ->
		begun[r] = WITHOUT(begun[r], c);
		answeredStill[r] = WITHOUT(answeredStill[r], c);
		toldStill[r] = WITHOUT(toldStill[r], c);
		r++
	:: else -> break
	od;
	r = 0
}

#ifdef VOTER_HAS_HEARD_A_LEADER
#define KNOWS_NO_LEADER true
#else
#define KNOWS_NO_LEADER (!HAS(seen, v))
#endif
#define GIVES ((!HAS(waits, v) && promisedHere[v] == 0) || (HAS(unled, c) && KNOWS_NO_LEADER))

#ifdef ANY_PROCESS_ANSWERS
#define BEGAN_BEFORE true
#else
#define BEGAN_BEFORE HAS(begun[c], v)
#endif

#ifdef ANY_PROCESS_VOTES
#define WAS_TOLD true
#else
#define WAS_TOLD (!HAS(unled, c) || HAS(votingStill[c], v))
#endif

active proctype world() {
end:	do
	:: atomic {
		select (c : 0 .. N - 1);
		select (v : 0 .. N - 1);
		if
		/* A process ends and the next one begins. */
		:: c == v && restarts < RESTARTS -> restart()

		/* What an earlier process may have promised is over. */
		:: c == v && HAS(waits, c) && promised[c] == 0 -> waits = WITHOUT(waits, c)

		/* A round of pre-votes; its answers and their reading. */
		:: c == v && c < ASKERS && !HAS(seen, c) && !HAS(standing, c) && rounds < ROUNDS -> beginRound()
		:: c != v && HAS(asking, c) && !HAS(seen, v) && !HAS(answered[c], v) && BEGAN_BEFORE ->
			answered[c] = answered[c] | BIT(v);
			answeredStill[c] = answeredStill[c] | BIT(v)
		:: c != v && HAS(asking, c) && HAS(answered[c], v) && !HAS(told[c], v) ->
			told[c] = told[c] | BIT(v);
			toldStill[c] = toldStill[c] | (answeredStill[c] & BIT(v))

		/* Candidates. */
		:: c == v && HAS(asking, c) && !HAS(seen, c) && term[c] < TERMS ->
			size(told[c] | BIT(c));
			if
			:: count >= ENOUGH_TOLD -> stand(1)
			:: else
			fi
		:: c == v && !HAS(waits, c) && promisedHere[c] == 0 && lead[c] == 0 && term[c] < TERMS -> stand(0)

		/* A vote, and its count. */
		:: c != v && HAS(standing, c) && term[c] > term[v] && !HAS(lease, v) && GIVES ->
			term[v] = term[c];
			follow(v);
			voting[c] = voting[c] | BIT(v);
			votingStill[c] = votingStill[c] | (toldStill[c] & BIT(v))
		:: c != v && HAS(standing, c) && HAS(voting[c], v) && WAS_TOLD ->
			votes[c] = votes[c] | BIT(v);
			size(votes[c]);
			if
			:: count >= QUORUM ->
				follow(c);
				lead[c] = term[c];
				seen = seen | BIT(c);
				endRound(c)
			:: else
			fi

		/* A heartbeat and its answer. */
		:: c != v && lead[c] != 0 && term[v] <= lead[c] ->
			term[v] = lead[c];
			follow(v);
			endRound(v);
			seen = seen | BIT(v);
			promised[v] = promised[v] | BIT(c);
			promisedHere[v] = promisedHere[v] | BIT(c);
			acknowledged[c] = acknowledged[c] | BIT(v) | BIT(c);
			size(acknowledged[c]);
			if
			:: count >= QUORUM -> lease = lease | BIT(c); oneLease()
			:: else
			fi

		/* The time of what a leader was promised is over. */
		:: c == v ->
			lease = WITHOUT(lease, c);
			acknowledged[c] = 0;
			r = 0;
			do
			:: r < N -> promised[r] = WITHOUT(promised[r], c); promisedHere[r] = WITHOUT(promisedHere[r], c); r++
			:: else -> break
			od;
			r = 0
		:: else
		fi;
		c = 0; v = 0; count = 0
	}
	od
}
