package usage

import "time"

// Rate is the demand for a model in each second. Rates of several daemons can be added.
type Rate struct {
	// Requests is the number of requests.
	Requests float64
	// Prompt is the number of prompt tokens, Answer the number of answer tokens.
	Prompt float64
	Answer float64
	// PromptSquares is the sum of the squares of the prompts' token counts. Prompts differ widely,
	// and a long one delays all other requests at its server while it is read.
	PromptSquares float64
	// GoalPromptSeconds is the sum of the goals for the start of answers, in seconds, each weighted
	// by its prompt's tokens.
	GoalPromptSeconds float64
}

// PerRequest returns the rate of one request a second.
func PerRequest(size Size, goal time.Duration) Rate {
	return Rate{
		Requests:          1,
		Prompt:            size.Prompt,
		Answer:            size.Answer,
		PromptSquares:     size.Prompt * size.Prompt,
		GoalPromptSeconds: size.Prompt * goal.Seconds(),
	}
}

// Add returns the sum of two rates.
func (r Rate) Add(other Rate) Rate {
	return Rate{
		Requests:          r.Requests + other.Requests,
		Prompt:            r.Prompt + other.Prompt,
		Answer:            r.Answer + other.Answer,
		PromptSquares:     r.PromptSquares + other.PromptSquares,
		GoalPromptSeconds: r.GoalPromptSeconds + other.GoalPromptSeconds,
	}
}

// Scale returns the rate multiplied by a factor.
func (r Rate) Scale(factor float64) Rate {
	return Rate{
		Requests:          factor * r.Requests,
		Prompt:            factor * r.Prompt,
		Answer:            factor * r.Answer,
		PromptSquares:     factor * r.PromptSquares,
		GoalPromptSeconds: factor * r.GoalPromptSeconds,
	}
}

// MeanGoal returns the mean goal weighted by prompt tokens. It is 0 if there is no demand or no
// goal.
func (r Rate) MeanGoal() time.Duration {
	if r.Prompt <= 0 {
		return 0
	}
	return time.Duration(r.GoalPromptSeconds / r.Prompt * float64(time.Second))
}

// TypicalPrompt returns the mean prompt size in tokens, weighted by the prompts' tokens.
func (r Rate) TypicalPrompt() float64 {
	if r.Prompt <= 0 {
		return 0
	}
	return r.PromptSquares / r.Prompt
}
