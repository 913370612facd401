package usage

import "time"

// Rate is what is asked of a model in a second. Rates of several daemons add up.
type Rate struct {
	// Requests is how many there are.
	Requests float64
	// Prompt is tokens to be read, Answer tokens to be written.
	Prompt float64
	Answer float64
	// Squares is the squares of the prompts' tokens: prompts differ widely, and a long one
	// holds up all others at its server while it is read.
	Squares float64
	// Goals is the time, in seconds, within which answers are to begin, counted once for
	// each token of a prompt.
	Goals float64
}

// Of returns the rate of one request a second.
func Of(size Size, goal time.Duration) Rate {
	return Rate{
		Requests: 1,
		Prompt:   size.Prompt,
		Answer:   size.Answer,
		Squares:  size.Prompt * size.Prompt,
		Goals:    size.Prompt * goal.Seconds(),
	}
}

// Plus returns the sum of two rates.
func (r Rate) Plus(other Rate) Rate {
	return Rate{
		Requests: r.Requests + other.Requests,
		Prompt:   r.Prompt + other.Prompt,
		Answer:   r.Answer + other.Answer,
		Squares:  r.Squares + other.Squares,
		Goals:    r.Goals + other.Goals,
	}
}

// Times returns the rate of so many times as many requests.
func (r Rate) Times(factor float64) Rate {
	return Rate{
		Requests: factor * r.Requests,
		Prompt:   factor * r.Prompt,
		Answer:   factor * r.Answer,
		Squares:  factor * r.Squares,
		Goals:    factor * r.Goals,
	}
}

// Goal returns the mean goal, 0 where nothing is asked or there is none.
func (r Rate) Goal() time.Duration {
	if r.Prompt <= 0 {
		return 0
	}
	return time.Duration(r.Goals / r.Prompt * float64(time.Second))
}

// Typical returns how many tokens the prompt has that the mean token belongs to.
func (r Rate) Typical() float64 {
	if r.Prompt <= 0 {
		return 0
	}
	return r.Squares / r.Prompt
}
