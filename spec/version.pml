/* The configuration version, spread from peer to peer (internal/core/node.go).
 *
 * Three routers; the service publishes 1, 2 and two values of revision 3, and
 * may be read stale by any router at any time; any router may restart empty and
 * is then not ready until a peer or the service has been heard.
 *
 * Properties:
 *   forward  no running router's accepted version goes back
 *   agree    when the exchange is quiet, all routers have the same version
 *
 * Broken variants: TAKE_ANY (a router takes what it is offered), NO_HASH (one
 * revision has no winner).
 */
#define N 3
byte have[N];          /* accepted: revision * 2 + hash bit, 0 none */
byte best = 0;         /* highest accepted anywhere, ever, by a router still up */
bool back = false;
byte reads = 0;
byte starts = 0;
bool quiet = false;

#define REV(v) (v / 2)

inline offer(r, v) {
	atomic { if
#ifdef TAKE_ANY
	:: v != 0 -> back = back || (v < have[r]); have[r] = v
#else
#ifdef NO_HASH
	:: REV(v) > REV(have[r]) -> have[r] = v
#else
	:: v > have[r] -> have[r] = v
#endif
#endif
	:: else -> skip
	fi }
}

active proctype World()
{
	byte r, s, v;
	do
	:: reads < 4 -> /* a router reads the service, which may be stale */
		reads++;
		select (r : 0 .. 2);
		if :: v = 2 :: v = 4 :: v = 6 :: v = 7 fi; /* 7: second value of revision 3 */
		offer(r, v)
	:: starts < 1 -> /* a router restarts empty */
		starts++;
		select (r : 0 .. 2);
		have[r] = 0
	:: /* two routers exchange versions */
		select (r : 0 .. 2); select (s : 0 .. 2);
		offer(r, have[s])
	:: reads == 4 -> break
	od;
	/* every pair exchanges versions twice */
	byte k = 0;
	do
	:: k < 2 ->
		offer(0, have[1]); offer(1, have[2]); offer(2, have[0]);
		offer(1, have[0]); offer(2, have[1]); offer(0, have[2]);
		k++
	:: else -> break
	od;
	quiet = true
}

ltl forward { [] !back }
ltl agree { [] (quiet -> (have[0] == have[1] && have[1] == have[2])) }
