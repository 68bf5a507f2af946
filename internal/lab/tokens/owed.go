package tokens

import (
	"sort"
	"time"
)

// windowDuration is the time over which the users count what an organisation is owed.
const windowDuration = 4 * time.Second

// window is what organisations asked for and got in time, in tokens as shares are
// counted, by when the requests came.
type window struct{ requested, inTime [16]float64 }

func (w *world) window(at time.Time) *window {
	i := int(at.Sub(startTime.Add(warmUpDuration)) / windowDuration)
	for len(w.windows) <= i {
		w.windows = append(w.windows, window{})
	}
	return &w.windows[i]
}

// owed works out what the users count: in each window an organisation is owed its
// max-min share of the stated capacity; what it asks beyond is neither owed nor
// missed.
func (w *world) owed() {
	var owed, served, beyond float64
	var orgOwed, orgServed [16]float64
	for _, win := range w.windows {
		shares := maxMin(win.requested[:], capacity*windowDuration.Seconds())
		for i, share := range shares {
			in := min(win.inTime[i], share)
			owed += share
			served += in
			beyond += win.inTime[i] - in
			orgOwed[i] += share
			orgServed[i] += in
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

// maxMin divides a capacity between demands by progressive filling.
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
