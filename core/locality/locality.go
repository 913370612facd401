// Package locality divides the requests of each availability zone over the zones
// whose backend servers may take them.
//
// Bytes between zones cost money and time, so requests stay in their zone as long as
// its servers carry no more than those of the others. A zone that lost servers, or is
// asked more than its servers' part, sends the excess away: to each zone in proportion
// to what that one could take beyond its own requests. All servers are then equally
// busy, and as few requests as possible travel. Every daemon works this out by itself
// from the servers it sees and from what is asked in each zone; nothing is agreed. It
// is what Envoy calls zone aware routing.
//
// A fixed preference for the own zone, by which a daemon compares the servers' loads as far as
// it knows them, works where a daemon sees a good part of the requests. With hundreds of
// daemons each sees one at a time, and nobody would leave a zone that has lost groups
// (TestZoneThatLostServers).
package locality

// Zone is an availability zone as one kind of request sees it.
type Zone struct {
	Name string
	// Room is how many requests its servers can have under way.
	Room float64
	// Asked is what is asked there, in any unit that is the same for all zones.
	Asked float64
}

// Share is the part of a zone's requests that goes to one zone.
type Share struct {
	Zone string
	Part float64
}

// Divide returns how the requests of one zone are divided. The parts add up to 1, but
// for a division without any room, which is empty. Where nothing is known of what is
// asked, requests stay in their zone if it has any room.
func Divide(own string, zones []Zone) []Share {
	room, asked := totals(zones)
	if room <= 0 {
		return nil
	}
	kept := kept(own, zones, room, asked)
	var shares []Share
	for _, zone := range zones {
		part := (1 - kept) * spare(zone, room, asked) / max(spares(zones, room, asked), tiny)
		if zone.Name == own {
			part = kept
		}
		if part > 0 {
			shares = append(shares, Share{
				Zone: zone.Name,
				Part: part,
			})
		}
	}
	return shares
}

// tiny keeps a division by nothing from being one by 0.
const tiny = 1e-12

// totals returns the room and what is asked in all zones.
func totals(zones []Zone) (room, asked float64) {
	for _, zone := range zones {
		room += zone.Room
		asked += zone.Asked
	}
	return room, asked
}

// kept returns the part of a zone's requests that stay there: all of them unless the
// zone's part of what is asked is above its part of the room.
func kept(own string, zones []Zone, room, asked float64) float64 {
	for _, zone := range zones {
		if zone.Name != own {
			continue
		}
		if zone.Room > 0 && (asked <= 0 || zone.Asked <= 0) {
			return 1
		}
		return min(1, (zone.Room/room)/max(zone.Asked/max(asked, tiny), tiny))
	}
	return 0
}

// spare returns how much a zone could take beyond its own requests, as a part of all.
// A zone that nobody asks in has all of its room to spare.
func spare(zone Zone, room, asked float64) float64 {
	return max(0, zone.Room/room-zone.Asked/max(asked, tiny))
}

// spares adds up what all zones could take beyond their own requests.
func spares(zones []Zone, room, asked float64) float64 {
	sum := 0.0
	for _, zone := range zones {
		sum += spare(zone, room, asked)
	}
	return sum
}

// Draw returns the zone at a place between 0 and 1 of the division, or nothing where
// the division is empty.
func Draw(shares []Share, at float64) string {
	for _, share := range shares {
		at -= share.Part
		if at < 0 {
			return share.Zone
		}
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].Zone
}
