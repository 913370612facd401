package relay

import (
	"github.com/pkg/errors"

	"headcourse/core/demand"
	"headcourse/core/rowstore"
	"headcourse/core/usage"
)

// asked is how much of a kind is asked in a zone, as it is sent.
type asked struct {
	Service string  `json:"service"`
	Model   string  `json:"model,omitempty"`
	Zone    string  `json:"zone"`
	Rate    float64 `json:"rate"`
	// Requests are in requests a second, Prompt, Answer and Squares in tokens a second,
	// Goals in seconds for each.
	Requests float64 `json:"requests,omitempty"`
	Prompt   float64 `json:"prompt,omitempty"`
	Answer   float64 `json:"answer,omitempty"`
	Squares  float64 `json:"squares,omitempty"`
	Goals    float64 `json:"goals,omitempty"`
}

// encodeAsked returns what is asked as it is sent.
func encodeAsked(all []demand.Asked) []asked {
	var sent []asked
	for _, one := range all {
		sent = append(sent, asked{
			Service:  one.Kind.Service,
			Model:    one.Kind.Model,
			Zone:     one.Zone,
			Rate:     one.Rate,
			Requests: one.Tokens.Requests,
			Prompt:   one.Tokens.Prompt,
			Answer:   one.Tokens.Answer,
			Squares:  one.Tokens.Squares,
			Goals:    one.Tokens.Goals,
		})
	}
	return sent
}

// decodeAsked returns what is asked as it was sent.
func decodeAsked(sent []asked) []demand.Asked {
	var all []demand.Asked
	for _, one := range sent {
		all = append(all, demand.Asked{
			Kind: demand.Kind{
				Service: one.Service,
				Model:   one.Model,
			},
			Zone: one.Zone,
			Rate: one.Rate,
			Tokens: usage.Rate{
				Requests: one.Requests,
				Prompt:   one.Prompt,
				Answer:   one.Answer,
				Squares:  one.Squares,
				Goals:    one.Goals,
			},
		})
	}
	return all
}

// told takes what a daemon tells with a call, and returns what is asked of all. One that
// tells nonsense is answered all the same.
func (s *Server) told(call question) []asked {
	if s.board == nil || call.From == "" {
		return nil
	}
	all, err := s.board.Told(call.From, demand.Word{
		Asked: decodeAsked(call.Asked),
		Depth: call.Depth,
	})
	if err != nil {
		s.refuse(call.From, err)
		return nil
	}
	return encodeAsked(all)
}

// retract forgets what a daemon told with a call that this one has no copy for: with the
// store away from all relays, each daemon's requests counted at its relay and at a standby,
// and the leader thought that half as much more was asked.
func (s *Server) retract(call question, err error) {
	if s.board != nil && call.From != "" && errors.Is(err, rowstore.ErrNoCopy) {
		s.board.Retract(call.From)
	}
}

// refuse tells of a word that makes no sense.
func (s *Server) refuse(from string, err error) {
	if s.refused != nil {
		s.refused(from, err)
	}
}
