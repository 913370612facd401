// Package locality divides the requests of each availability zone over the zones whose backend
// servers can take them.
//
// Traffic between zones costs money and time, so requests stay in their zone as long as its
// servers carry no more than those of other zones. If a zone has lost servers, or has more
// demand than its part of the capacity, it sends the excess to other zones, to each in
// proportion to its spare capacity. All servers are then equally loaded, and as few requests as
// possible cross zones. Every daemon computes this by itself from the servers that it knows and
// the demand of each zone, without coordination. Envoy calls it zone aware routing.
//
// A fixed preference for the daemon's own zone, weighed against observed loads, works only if a
// daemon sees a good part of the requests. With hundreds of daemons each one sees a single
// request at a time, and none would leave a zone that has lost groups
// (TestZoneWithFewerServersSendsExcessAway in core/balancer).
package locality

// Zone is an availability zone with its capacity and demand for one kind of request.
type Zone struct {
	Name string
	// Capacity is the capacity of the zone's servers in requests in flight.
	Capacity float64
	// Demand is the zone's demand, in any unit that is the same for all zones.
	Demand float64
}

// Share is the fraction of a zone's requests that goes to one zone.
type Share struct {
	Zone     string
	Fraction float64
}

// Divide returns how the requests of ownZone are divided over the zones. The fractions add up
// to 1. The result is empty if there is no capacity, or if ownZone has none and no other zone has
// spare capacity. If the demand is unknown, requests stay in their zone if it has any capacity.
func Divide(ownZone string, zones []Zone) []Share {
	capacity, demand := totals(zones)
	if capacity <= 0 {
		return nil
	}
	local := localFraction(ownZone, zones, capacity, demand)
	var shares []Share
	for _, zone := range zones {
		fraction := (1 - local) * spareFraction(zone, capacity, demand) / max(totalSpareFraction(zones, capacity, demand), epsilon)
		if zone.Name == ownZone {
			fraction = local
		}
		if fraction > 0 {
			shares = append(shares, Share{
				Zone:     zone.Name,
				Fraction: fraction,
			})
		}
	}
	return shares
}

// epsilon prevents division by zero.
const epsilon = 1e-12

// totals returns the capacity and the demand of all zones.
func totals(zones []Zone) (capacity, demand float64) {
	for _, zone := range zones {
		capacity += zone.Capacity
		demand += zone.Demand
	}
	return capacity, demand
}

// localFraction returns the fraction of a zone's requests that stay there. It is 0 if the zone has
// no capacity. Otherwise it is 1 unless the zone's fraction of the demand exceeds its fraction of
// the capacity.
func localFraction(ownZone string, zones []Zone, capacity, demand float64) float64 {
	for _, zone := range zones {
		if zone.Name != ownZone {
			continue
		}
		if zone.Capacity > 0 && (demand <= 0 || zone.Demand <= 0) {
			return 1
		}
		return min(1, (zone.Capacity/capacity)/max(zone.Demand/max(demand, epsilon), epsilon))
	}
	return 0
}

// spareFraction returns the capacity of a zone beyond its own demand, as a fraction of the
// total. In a zone without demand all capacity is spare.
func spareFraction(zone Zone, capacity, demand float64) float64 {
	return max(0, zone.Capacity/capacity-zone.Demand/max(demand, epsilon))
}

// totalSpareFraction returns the sum of the spare fractions of all zones.
func totalSpareFraction(zones []Zone, capacity, demand float64) float64 {
	sum := 0.0
	for _, zone := range zones {
		sum += spareFraction(zone, capacity, demand)
	}
	return sum
}

// ZoneAt returns the zone at a point from 0 to 1 of the shares, or an empty string if there are
// none.
func ZoneAt(shares []Share, point float64) string {
	for _, share := range shares {
		point -= share.Fraction
		if point < 0 {
			return share.Zone
		}
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].Zone
}
