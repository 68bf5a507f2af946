package process

import "time"

// admissionHoldDuration is how long after an overload load shedding still admits only what
// organisations' shares cover. Without it, the flood that is being refused would overload
// the router again.
const admissionHoldDuration = 2 * time.Second

// serviceOrg is an organisation at a service.
type serviceOrg struct{ service, org string }

// publishAdmitRatios publishes the fraction of each organisation's requests to admit during
// an overload and for admissionHoldDuration after it.
func (rc *RoutedController) publishAdmitRatios(now time.Time) {
	if rc.overloaded {
		rc.admissionUntil = now.Add(admissionHoldDuration)
	}
	if now.After(rc.admissionUntil) {
		rc.admitRatios.Store(nil)
		return
	}
	ratios := map[serviceOrg]float64{}
	for _, c := range rc.node.ShareCoverage(now) {
		ratios[serviceOrg{c.Service, c.Org}] = c.Ratio
	}
	rc.admitRatios.Store(&ratios)
}

// AdmitRatio implements forward.Control. Without a published ratio all requests are admitted.
func (rc *RoutedController) AdmitRatio(service, org string) float64 {
	ratios := rc.admitRatios.Load()
	if ratios == nil {
		return 1
	}
	if ratio, known := (*ratios)[serviceOrg{service, org}]; known {
		return ratio
	}
	return 1
}
