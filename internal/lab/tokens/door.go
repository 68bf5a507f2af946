package tokens

import (
	"time"

	"github.com/silverswitch/silverswitch/internal/dispatch"
)

// A router that is short of processor refuses at its door, without asking, what it is told
// that shares do not cover. It tells what it refused, and asks for the rest.

const (
	// doorEvery is how often the door is told what to let in.
	doorEvery = 100 * time.Millisecond
	// turnedEvery is how often the node is told what the door refused.
	turnedEvery = 200 * time.Millisecond
	// doorBack is when a caller that the door refuses may come back.
	doorBack = 100 * time.Millisecond
)

// doorState is what the door of the late router goes by.
type doorState struct {
	parts  map[string]float64 // by organisation, let in
	turned map[string]float64 // tokens that the node was not told of
}

func newDoorState() doorState {
	return doorState{parts: map[string]float64{}, turned: map[string]float64{}}
}

// turnsAway decides at the door, and counts what it refuses.
func (w *world) turnsAway(c *call) bool {
	if !w.Door || !w.floods() || c.router != w.lateRouter() {
		return false
	}
	part, known := w.door.parts[c.req.Org]
	if !known || w.rnd.Float64() < part {
		return false
	}
	w.door.turned[c.req.Org] += dispatch.Cost(c.req.Input, c.req.Output)
	w.refused(dispatch.Refuse{ID: c.req.ID, After: doorBack})
	return true
}

// tickDoor brings news between the door and its node.
func (w *world) tickDoor() {
	n := w.nodes[w.lateRouter()]
	if !w.Door || n == nil {
		return
	}
	age := w.now.Sub(begin)
	if age%doorEvery == 0 {
		clear(w.door.parts)
		for _, c := range n.Covered(w.now) {
			w.door.parts[c.Org] = c.Part
		}
	}
	if age%turnedEvery != 0 || len(w.door.turned) == 0 {
		return
	}
	var work []dispatch.ShedWork
	for i := range weights {
		if tokens := w.door.turned[orgName(i)]; tokens > 0 {
			work = append(work, dispatch.ShedWork{Service: serviceName, Org: orgName(i), Tokens: tokens})
		}
	}
	clear(w.door.turned)
	n.Step(dispatch.LoadShed{Work: work}, w.now)
}
