/* Grants of one slot by two schedulers in turn (internal/core/sched, entry).
 *
 * One router, two schedulers A and B, one slot. The router may turn from one
 * scheduler to the other and back; grants are delayed, lost and repeated. Each
 * grant carries its number and the router's epoch.
 *
 * Properties:
 *   slot   a grant is used at most once
 *   back   a scheduler whose router is quiet in the end has its slot back: no
 *          slot stays with a grant that the router will never take
 *
 * Broken variants: NO_EPOCH (the router keeps counting over a turn),
 * NO_NUMBER (a grant is used whenever it arrives).
 */
#define TURNS 2
#ifdef NO_EPOCH
#define EPOCH_OK true
#else
#define EPOCH_OK (msgEpoch[sched] == epoch)
#endif

byte sched = 0;        /* whom the router follows */
byte epoch = 0;        /* the router's numbering */
byte acked = 0;        /* last grant taken in this epoch */
byte turns = 0;
byte used = 0;         /* grants used that were issued as one */

/* state of each scheduler about the router */
byte sepoch[2];
byte next[2] = 1;      /* next grant number */
byte out[2];           /* number of the grant on its way, 0 none */
bool stuck[2];

/* the network: one grant message per scheduler, which may be taken any number
   of times (repeated) or never (lost) */
byte msgNo[2];
byte msgEpoch[2];
byte issued = 0;
byte taken = 0;

inline report(s) {
	/* the router's report, heard by the scheduler it follows */
	atomic {
		if
#ifndef NO_EPOCH
		:: sepoch[s] != epoch -> sepoch[s] = epoch; next[s] = 1; out[s] = 0
#endif
		:: else -> skip
		fi;
		if
		:: out[s] != 0 && acked >= out[s] -> out[s] = 0
		:: else -> skip
		fi
	}
}

active proctype Router()
{
	do
	:: report(sched)
	:: atomic { /* a grant arrives, perhaps again */
		msgNo[sched] != 0 ->
		if
#ifdef NO_NUMBER
		:: true -> taken++; if :: taken > issued -> used = 2 :: else fi; acked = msgNo[sched]
#else
		:: (msgNo[sched] == acked + 1 && EPOCH_OK) -> taken++; acked++; if :: taken > issued -> used = 2 :: else fi
		:: else -> skip
#endif
		fi }
	:: atomic { turns < TURNS -> turns++; sched = 1 - sched; epoch++; acked = 0 }
	:: turns == TURNS -> break
	od;
	/* quiet: the last reports and grants get through */
	byte k = 0;
	do
	:: k < 3 ->
		report(sched);
		atomic { if
		:: (out[sched] != 0 && msgNo[sched] == out[sched] && msgNo[sched] == acked + 1 && EPOCH_OK) -> acked++; taken++
		:: else -> skip
		fi };
		k++
	:: else -> break
	od;
	report(sched);
	stuck[sched] = (out[sched] != 0 && sepoch[sched] == epoch) || (out[sched] != 0 && msgNo[sched] != acked + 1)
}

active [2] proctype Scheduler()
{
	byte me = _pid - 1;
	byte given = 0;
	do
	:: atomic { given < 2 && out[me] == 0 && turns < TURNS ->
		given++; issued++; out[me] = next[me]; msgNo[me] = next[me]; msgEpoch[me] = sepoch[me]; next[me]++ }
	:: turns == TURNS -> break
	od
}

ltl slot { [] (used != 2) }
ltl back { [] !(stuck[0] || stuck[1]) }
