package usage

import "time"

// Rate is the demand for a model in each second. Rates of several daemons can be added.
type Rate struct {
	// Requests is the number of requests.
	Requests float64
	// Prompt is the number of prompt tokens, Answer the number of answer tokens.
	Prompt float64
	Answer float64
	// Squares is the sum of the squares of the prompts' token counts. Prompts differ widely,
	// and a long one delays all other requests at its server while it is read.
	Squares float64
	// Goals is the sum of the goals for the start of answers, in seconds, each weighted by its
	// prompt's tokens.
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

// Times returns the rate multiplied by a factor.
func (r Rate) Times(factor float64) Rate {
	return Rate{
		Requests: factor * r.Requests,
		Prompt:   factor * r.Prompt,
		Answer:   factor * r.Answer,
		Squares:  factor * r.Squares,
		Goals:    factor * r.Goals,
	}
}

// Goal returns the mean goal weighted by prompt tokens. It is 0 if there is no demand or no
// goal.
func (r Rate) Goal() time.Duration {
	if r.Prompt <= 0 {
		return 0
	}
	return time.Duration(r.Goals / r.Prompt * float64(time.Second))
}

// Typical returns the mean prompt size in tokens, weighted by the prompts' tokens.
func (r Rate) Typical() float64 {
	if r.Prompt <= 0 {
		return 0
	}
	return r.Squares / r.Prompt
}
