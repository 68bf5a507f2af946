package tokens

import (
	"sort"
	"time"
)

// windowDuration is the duration of the windows in which the users count what an
// organisation is owed.
const windowDuration = 4 * time.Second

// window holds, for each organisation, the tokens that it requested and those that were
// served within the target latency, as shares count tokens, by the arrival of the requests.
type window struct{ requested, inTime [16]float64 }

// window returns the window of a time.
func (w *world) window(at time.Time) *window {
	i := int(at.Sub(startTime.Add(warmUpDuration)) / windowDuration)
	for len(w.windows) <= i {
		w.windows = append(w.windows, window{})
	}
	return &w.windows[i]
}

// owed computes the results as the users count them: in each window an organisation is owed
// its max-min fair share of the stated capacity. What it requests beyond that is neither
// owed nor counted as missed.
func (w *world) owed() {
	var owed, served, beyond float64
	var orgOwed, orgServed [16]float64
	for _, win := range w.windows {
		shares := maxMin(win.requested[:], capacity*windowDuration.Seconds())
		for i, share := range shares {
			withinShare := min(win.inTime[i], share)
			owed += share
			served += withinShare
			beyond += win.inTime[i] - withinShare
			orgOwed[i] += share
			orgServed[i] += withinShare
		}
	}
	w.res.Least = 1
	for i := range orgOwed {
		if orgOwed[i] > 0 {
			w.res.Least = min(w.res.Least, orgServed[i]/orgOwed[i])
		}
	}
	w.res.Owed, w.res.Beyond = served/owed, beyond/owed
}

// maxMin divides a capacity between demands by max-min fairness (progressive filling).
func maxMin(demands []float64, total float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return demands[order[a]] < demands[order[b]] })
	out := make([]float64, len(demands))
	for n, i := range order {
		out[i] = min(demands[i], total/float64(len(order)-n))
		total -= out[i]
	}
	return out
}
