/*
 * Seats of a group of controllers whose machines are replaced in turn, as
 * internal/seats gives them. README.md says what is modelled and what not.
 *
 * The log is left out: a change of the membership commits while a quorum of the
 * voters is there (consensus.pml has why that is safe). Time is counted in classes
 * of an absence: short, long enough for a successor to take the seat, and long
 * enough to lose it without one.
 */

#ifndef SEATS
#define SEATS 3
#endif
#ifndef LOSSES
#define LOSSES 4		/* machines that are lost for good or for a time, in all */
#endif
#ifndef TOLERATED
#define TOLERATED 1		/* how many count as lost at once */
#endif
#define MACHINES (SEATS + LOSSES)

#define UNUSED 0
#define HERE 1
#define SHORT 2
#define LONG 3
#define OVER 4

byte absence[MACHINES];
bool gone[MACHINES];		/* for good */
bool counts[MACHINES];		/* counts as lost */
bool voter[MACHINES];
bool learner[MACHINES];
bool reserved[MACHINES];	/* a learner that has the seat of a removed member */

byte losses, made;
byte seats = SEATS;		/* as many as are to be kept */
byte m, s, i, voters, held, here, absent, longest, lost;

inline count() {
	voters = 0; held = 0; here = 0; absent = 0; lost = 0; longest = MACHINES; i = 0;
	do
	:: i < MACHINES ->
		if
		:: voter[i] -> voters++;
			if
			:: absence[i] == HERE -> here++
			:: else
			fi
		:: else
		fi;
		if
		:: voter[i] || reserved[i] -> held++;
			if
			:: absence[i] != HERE -> absent++;
				if
				:: longest == MACHINES || absence[i] > absence[longest] -> longest = i
				:: else
				fi
			:: else
			fi
		:: else
		fi;
		if
		:: counts[i] -> lost++
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

#define QUORUM_HERE (here >= voters / 2 + 1)

#define IS_LONG(a) ((a) >= LONG)

#ifdef FURTHER_SEATS
#define TAKES_A_SEAT false
#define FURTHER_SEAT true
#define LOSES_ITS_SEAT (absent == 1 && absence[m] == OVER && here >= 3)
#else
#define TAKES_A_SEAT (absence[m] != HERE && IS_LONG(absence[m]))
#ifdef UNHEARD_VOTER_IS_PRESENT
#define FURTHER_SEAT true	/* the leader may have begun at this moment */
#else
#define FURTHER_SEAT (absent == 0)
#endif
#define LOSES_ITS_SEAT (absence[m] == OVER && here >= 3)
#endif

#ifdef SEAT_IS_GIVEN_UP
#define SEAT_IS_KEPT false
#else
#define SEAT_IS_KEPT true
#endif

inline check() {
	count();
	assert(QUORUM_HERE);
	assert(held == seats)
}

active proctype group() {
	atomic {
		do
		:: m < SEATS -> absence[m] = HERE; voter[m] = true; m++
		:: else -> break
		od;
		made = SEATS;
		m = 0
	}
end:	do
	:: atomic {
		select (m : 0 .. MACHINES - 1);
		select (s : 0 .. MACHINES - 1);
		count();
		if
		/* A voter is lost, for good or for a time. */
		:: m == s && voter[m] && absence[m] == HERE && losses < LOSSES && lost < TOLERATED ->
			losses++;
			absence[m] = SHORT;
			counts[m] = true;
			if
			:: gone[m] = true
			:: skip
			fi;
			check()

		/* Time passes for one that is absent. */
		:: m == s && absence[m] == SHORT -> absence[m] = LONG
		:: m == s && absence[m] == LONG -> absence[m] = OVER

		/* One that was lost for a time is back. Without a seat it joins anew. */
		:: m == s && absence[m] != UNUSED && absence[m] != HERE && !gone[m] ->
			absence[m] = HERE;
			if
			:: voter[m] -> counts[m] = false
			:: else -> learner[m] = true
			fi

		/* One that was lost for a time is back with an empty disk, as a new member that
		 * has its own seat. */
		:: m == s && voter[m] && absence[m] != HERE && !gone[m] && QUORUM_HERE ->
			absence[m] = HERE;
			voter[m] = false;
			learner[m] = true;
			reserved[m] = SEAT_IS_KEPT;
			check()

		/* The successor of one that is gone starts once that has been away for a while. */
		:: m != s && gone[m] && counts[m] && IS_LONG(absence[m]) && s == made && made < MACHINES ->
			made++;
			absence[s] = HERE;
			learner[s] = true;
			counts[s] = true;
			counts[m] = false

		/* A learner gets the seat of an absent member, or a further one. */
		:: m != s && learner[s] && !reserved[s] && absence[s] == HERE && (voter[m] || reserved[m]) && TAKES_A_SEAT && m == longest && QUORUM_HERE ->
			voter[m] = false;
			reserved[m] = false;
			reserved[s] = SEAT_IS_KEPT;
			check()
		:: m == s && learner[s] && !reserved[s] && absence[s] == HERE && FURTHER_SEAT && QUORUM_HERE ->
			seats++;
			voter[s] = true;
			learner[s] = false;
			counts[s] = false;
			check()

		/* A learner that has a seat votes once it has caught up. */
		:: m == s && learner[s] && reserved[s] && absence[s] == HERE && QUORUM_HERE ->
			voter[s] = true;
			learner[s] = false;
			reserved[s] = false;
			counts[s] = false;
			check()

		/* An absent voter loses its seat although no successor has come. */
		:: m == s && voter[m] && LOSES_ITS_SEAT && QUORUM_HERE ->
			seats--;
			voter[m] = false;
			check()
		:: else
		fi;
		m = 0; s = 0; voters = 0; held = 0; here = 0; absent = 0; lost = 0; longest = 0
	}
	od
}
