/*
 * Lives of one back end under one id, as internal/gateway (successor.go,
 * keyyield.go) and internal/keylease tell them apart. README.md says what is
 * modelled and what not.
 *
 * One key, one address with lives one after the other, the gateway beside it,
 * the leader, and another back end that may own the key. Time is not counted:
 * that a life which lives is heard before the gateway takes it for silent is a
 * guard (alive != present), and leases that run out are left out, so that a key
 * goes to another owner only by the gateway's word that a life has ended.
 */

#ifndef LIVES
#define LIVES 3			/* of the back end */
#endif
#ifndef RESTARTS
#define RESTARTS 1		/* of the gateway */
#endif
#ifndef BY_HEARTBEAT
#define BY_HEARTBEAT 0		/* keys come in answers to a life's own heartbeats, and can't be taken back */
#endif
#ifdef FIRST_BEAT_BELIEVED
#define SILENT true
#else
#define SILENT (alive != present)	/* the present life was not heard for long */
#endif
#define NONE 0
#define OTHER 255		/* the other back end, as an owner */

byte alive;			/* the life at the address */
byte lives;			/* so far */
byte holder;			/* the life that holds the key there */
bool sent[LIVES + 1];		/* a life's heartbeats, which may arrive at any time, and again */

byte present;			/* the life that the gateway takes for the present one */
bool ended[LIVES + 1];		/* lives that the gateway knows to be over */
byte rival;			/* one that is believed and waits */
bool granting;			/* a grant is on its way to the address */
bool grantedHere;		/* the gateway's present process has granted */
byte restarts;

byte owner;			/* by the leader's state */
bool otherHolds;

#define ONE_HOLDER assert(!(holder != NONE && otherHolds))

inline endPresent() {
	ended[present] = true;
	if
	:: owner == present -> owner = NONE
	:: else
	fi
}

active proctype world() {
	byte heard;

end:	do
	/* The back end. A crash closes its connections: what was on its way is lost. */
	:: atomic { alive == NONE && lives < LIVES -> lives++; alive = lives; sent[lives] = true }
	:: atomic { alive != NONE -> alive = NONE; holder = NONE; granting = false }

	/* The gateway finds that nothing listens at the address. It grants nothing from
	 * then on, and tells the leader once no grant is on its way. */
#ifdef ENDS_WITH_GRANT_ON_ITS_WAY
	:: atomic { present != NONE && alive == NONE -> endPresent(); present = NONE; rival = NONE }
#else
	:: atomic { present != NONE && alive == NONE && !granting -> endPresent(); present = NONE; rival = NONE }
#endif

	/* A heartbeat of any life so far, first or late. */
	:: atomic {
		select (heard : 1 .. LIVES);
		if
		:: sent[heard] && !ended[heard] && heard != present && rival == NONE ->
			if
			:: present == NONE -> present = heard; grantedHere = false
			:: present != NONE && SILENT -> rival = heard
			:: else
			fi
		:: else
		fi;
		heard = 0
	   }

	/* The present life is heard again: it lives, and keeps its place. */
	:: atomic { rival != NONE && alive == present -> rival = NONE }

	/* What was granted is taken back; then the leader hears of the next life. */
#ifdef NOTHING_TAKEN_BACK
	:: atomic { rival != NONE -> endPresent(); present = rival; rival = NONE }
#else
	:: atomic {
		rival != NONE && SILENT && !granting ->
#ifdef FORGETS_EARLIER_GRANTS
		if
		:: grantedHere && !BY_HEARTBEAT -> holder = NONE
		:: else
		fi;
#else
		if
		:: !BY_HEARTBEAT -> holder = NONE
		:: else
		fi;
#endif
		endPresent(); present = rival; rival = NONE; grantedHere = false;
		ONE_HOLDER
	   }
#endif

	/* The gateway's process ends and starts: it knows what the leader knew. */
	:: atomic {
		restarts < RESTARTS ->
		restarts++; rival = NONE; grantedHere = false;
		for (heard : 1 .. LIVES) { ended[heard] = false }
		heard = 0
	   }

	/* Grants and renewals go to whoever is at the address. */
	:: atomic { !BY_HEARTBEAT && owner == present && present != NONE && rival == NONE && !granting -> granting = true; grantedHere = true }
	:: atomic { granting && alive != NONE -> granting = false; holder = alive; ONE_HOLDER }
	:: atomic { granting && alive == NONE -> granting = false }

	/* Or the present life gets its keys in the answer to its heartbeat. */
	:: atomic { BY_HEARTBEAT && owner == present && present != NONE && alive == present -> holder = alive; ONE_HOLDER }

	/* The leader. */
	:: atomic { owner == NONE && present != NONE && !otherHolds -> owner = present }
	:: atomic { owner == NONE && !otherHolds -> owner = OTHER; otherHolds = true; ONE_HOLDER }
	:: atomic { owner == OTHER -> otherHolds = false; owner = NONE }
	od
}
