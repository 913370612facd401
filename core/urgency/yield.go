package urgency

import (
	"sync"
)

const (
	// lateIncrement is added to the yield fraction for each late request, and inTimeDecrement
	// is subtracted for each one in time. The two balance if a tenth of the requests that do
	// not yield are late.
	lateIncrement   = 0.09
	inTimeDecrement = 0.01
	// maxYieldFraction caps the yield fraction.
	maxYieldFraction = 0.7
	// maxKinds is the limit of recorded kinds; a new kind beyond it clears the map.
	maxKinds = 4096
)

// YieldController decides which fraction of the requests of a kind yields to the others if not all
// can be in time. If none yielded, all requests would delay each other and all would be late. A
// yielding request is served as soon as there is capacity, so yielding without an overload costs
// nothing. In the zero value no request yields. It is safe for concurrent use.
type YieldController struct {
	mutex          sync.Mutex
	yieldFractions map[string]float64
}

// Record records whether a request that did not yield was in time.
func (c *YieldController) Record(kind string, inTime bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, isKnown := c.yieldFractions[kind]
	if c.yieldFractions == nil || (!isKnown && len(c.yieldFractions) >= maxKinds) {
		c.yieldFractions = map[string]float64{}
	}
	if inTime {
		c.yieldFractions[kind] = max(0, c.yieldFractions[kind]-inTimeDecrement)
		return
	}
	c.yieldFractions[kind] = min(maxYieldFraction, c.yieldFractions[kind]+lateIncrement)
}

// YieldFraction returns the fraction of the requests of a kind that should yield.
func (c *YieldController) YieldFraction(kind string) float64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.yieldFractions[kind]
}
