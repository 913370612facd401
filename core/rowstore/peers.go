package rowstore

// Relay is another daemon that answers from its copy.
type Relay struct {
	Name   string
	Reader Reader
}

// Peers are the daemons that one daemon calls, each group in call order.
type Peers struct {
	// Relays are called before the store. The first relay has none.
	Relays []Relay
	// Standbys are called if relays answer that they have no copy.
	Standbys []Relay
	// Fallbacks are called if the store fails for this daemon. They may call this daemon themselves.
	Fallbacks []Relay
}
