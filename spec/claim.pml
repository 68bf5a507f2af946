/* At most once, with restart, late wake and cut (internal/core/claim).
 *
 * Three witnesses, a quorum of two; two attempts with one key, by two routers.
 * A witness may restart and forget; it then vouches for no key minted before.
 * A cut or a lost message is a claim that is never answered. A frozen attempt is
 * one that takes its steps late: the scheduler of processes gives every delay.
 *
 * Properties:
 *   once    at most one attempt runs
 *   honest  an attempt that is told not-run after the other ran: never
 *   release an attempt that released its claims does not run
 *
 * Broken variants, one macro each: NO_HOLD (a witness consents to everyone),
 * NO_AGE (a restarted witness vouches for old keys), ONE_VOTE (quorum of one),
 * HASTY (not-run is said without ruling the other attempt out).
 */
#define W 3
#ifdef ONE_VOTE
#define QUORUM 1
#else
#define QUORUM 2
#endif
#define RULED_OUT (W - QUORUM + 1)
#define NONE 2

byte holder[W] = NONE;  /* attempt that holds the key at a witness */
bool young[W];          /* restarted since the key was minted */
byte restarts = 0;
byte runs = 0;
bool ran[2];
bool told_not_run[2];
bool ran_before_told[2];

proctype Attempt(byte me)
{
	byte w = 0, granted = 0, votes = 0;
	bool mine[W];
	/* ask each witness once; an unanswered one is a cut or a loss, but its
	   witness may have recorded the claim all the same */
	do
	:: w < W ->
		if
		:: atomic { /* claim recorded and answered */
#ifdef NO_AGE
			(holder[w] == NONE || holder[w] == me) ->
#else
			(!young[w] && (holder[w] == NONE || holder[w] == me)) ->
#endif
			holder[w] = me; granted++; mine[w] = true }
#ifdef NO_HOLD
		:: atomic { holder[w] != NONE && holder[w] != me -> granted++ }
#else
		:: (holder[w] != NONE && holder[w] != me) -> skip /* taken */
#endif
		:: young[w] -> skip /* cannot vouch */
		:: atomic { (!young[w] && holder[w] == NONE) -> holder[w] = me; mine[w] = true } /* the vote is lost */
		:: skip /* the claim is lost */
		fi;
		w++
	:: else -> break
	od;
	if
	:: granted >= QUORUM ->
		/* any delay may pass here: a frozen router wakes late */
		if
		:: atomic { runs++; ran[me] = true }
		:: goto release /* deadline passed, caller went away */
		fi;
		goto done
	:: else ->
#ifdef HASTY
		atomic { told_not_run[me] = true; ran_before_told[me] = ran[1 - me] };
#else
		if
		:: granted >= RULED_OUT -> atomic { told_not_run[me] = true; ran_before_told[me] = ran[1 - me] }
		:: else -> skip /* told: unknown */
		fi;
#endif
	fi;
release:
	w = 0;
	do
	:: w < W ->
		atomic { if
		:: mine[w] && holder[w] == me -> holder[w] = NONE
		:: skip /* the release is lost */
		fi };
		w++
	:: else -> break
	od;
done:
	skip
}

proctype Restarts()
{
	byte w;
	do
	:: restarts < 2 ->
		select (w : 0 .. 2);
		atomic { holder[w] = NONE; young[w] = true; restarts++ }
	:: break
	od
}

init { atomic { run Attempt(0); run Attempt(1); run Restarts() } }

ltl once { [] (runs <= 1) }
ltl honest { [] !(ran_before_told[0] || ran_before_told[1]) }
