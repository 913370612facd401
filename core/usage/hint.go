package usage

import (
	"math"
	"sync"
)

const (
	// minHintSamples is the number of answers from which the learned relation between hints and answers
	// is used.
	minHintSamples = 10
	// maxHintRatio bounds the ratio between a hint and an answer. Hints beyond it are ignored: a few of
	// them would otherwise determine the learned relation.
	maxHintRatio = 100
	// maxHintPairs is the limit of recorded pairs of organisation and model. A new pair beyond it clears
	// the map; the estimates of the models remain.
	maxHintPairs = 1024
	// priorSlope, priorVariance and priorCount describe the relation that is assumed before it is learned,
	// as that many answers: half of a hint's deviation from the mean is right, in logarithms.
	priorSlope    = 0.5
	priorVariance = 0.5
	priorCount    = 2.0
	// calibrationCount is the weight, in answers, of the assumption that typical and mean answers are equal.
	calibrationCount = 5.0
	// maxSlope bounds the learned slope, so that a hint far from the mean does not give a length that is
	// farther still. maxCalibration bounds the factor from typical to mean answers, and its inverse.
	maxSlope       = 1.0
	maxCalibration = 4.0
)

// HintEstimator estimates the lengths of answers from their clients' hints. Per model, and per pair of
// organisation and model, it fits the logarithm of the length as a linear function of the logarithm of the
// hint. A constant bias is thus corrected, and hints without information get no weight. The zero value is
// empty. It is safe for concurrent use.
type HintEstimator struct {
	mutex  sync.Mutex
	models map[string]hintFit
	pairs  map[hintPair]hintFit
}

// hintPair is an organisation's use of a model.
type hintPair struct {
	organisation string
	model        string
}

// hintFit holds moving averages over the answers with hints. Hint and answer are logarithms.
type hintFit struct {
	count      float64
	meanHint   float64
	meanAnswer float64
	variance   float64 // of the hint
	covariance float64 // of hint and answer
	// tokens and typicalTokens are the mean lengths of the answers, in tokens, and of what was expected of
	// them before calibration.
	tokens        float64
	typicalTokens float64
}

// Record records the length, in tokens, of an answer that was complete and whose request had a hint.
// maxTokens is the limit that the request set; 0: none.
func (h *HintEstimator) Record(organisation, model string, hint, maxTokens int, tokens float64) {
	if hint <= 0 || !(tokens > 0) || isHintAbsurd(float64(hint), tokens) {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	known, ok := h.models[model]
	if !ok && (h.models == nil || len(h.models) >= maxModels) {
		h.models = map[string]hintFit{}
	}
	h.models[model] = known.with(float64(hint), maxTokens, tokens)
	if organisation == "" {
		return
	}
	pair := hintPair{
		organisation: organisation,
		model:        model,
	}
	known, ok = h.pairs[pair]
	if !ok && (h.pairs == nil || len(h.pairs) >= maxHintPairs) {
		h.pairs = map[hintPair]hintFit{}
	}
	h.pairs[pair] = known.with(float64(hint), maxTokens, tokens)
}

// ExpectedAnswer returns the expected length of an answer, in tokens, at most maxTokens (0: no limit). hint
// is the client's hint (0: none), fallback the learned length without a hint (0: unknown). It returns 0 if
// neither is known.
func (h *HintEstimator) ExpectedAnswer(model string, hint, maxTokens int, fallback float64) float64 {
	return h.ExpectedAnswerOf("", model, hint, maxTokens, fallback)
}

// ExpectedAnswerOf is like ExpectedAnswer, for the request of an organisation. It uses the organisation's
// own hints once there are enough of them.
func (h *HintEstimator) ExpectedAnswerOf(organisation, model string, hint, maxTokens int, fallback float64) float64 {
	if hint <= 0 {
		return limitTokens(fallback, maxTokens)
	}
	fit, ok := h.fit(organisation, model)
	if !ok {
		return limitTokens(unlearnedAnswer(float64(hint), fallback), maxTokens)
	}
	if isHintAbsurd(float64(hint), math.Exp(fit.meanHint)) {
		return limitTokens(fallback, maxTokens)
	}
	return limitTokens(fit.calibration()*fit.typicalAnswer(float64(hint), maxTokens), maxTokens)
}

// Sizes returns the number of models, and of pairs of organisation and model, that are recorded.
func (h *HintEstimator) Sizes() (models, pairs int) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.models), len(h.pairs)
}

// fit returns the most specific relation that is known well enough.
func (h *HintEstimator) fit(organisation, model string) (hintFit, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	pair := hintPair{
		organisation: organisation,
		model:        model,
	}
	if fit := h.pairs[pair]; fit.count >= minHintSamples {
		return fit, true
	}
	fit := h.models[model]
	return fit, fit.count >= minHintSamples
}

// with returns the relation after one more answer.
func (f hintFit) with(hint float64, maxTokens int, tokens float64) hintFit {
	if f.count >= minHintSamples {
		f.tokens += f.gain() * (tokens - f.tokens)
		f.typicalTokens += f.gain() * (f.typicalAnswer(hint, maxTokens) - f.typicalTokens)
	}
	f.count++
	gain := f.gain()
	hintDeviation, answerDeviation := math.Log(hint)-f.meanHint, math.Log(tokens)-f.meanAnswer
	f.meanHint += gain * hintDeviation
	f.meanAnswer += gain * answerDeviation
	f.variance = (1 - gain) * (f.variance + gain*hintDeviation*hintDeviation)
	f.covariance = (1 - gain) * (f.covariance + gain*hintDeviation*answerDeviation)
	return f
}

// gain returns the weight of the last answer in the moving averages.
func (f hintFit) gain() float64 {
	return max(minGain, 1/f.count)
}

// typicalAnswer returns the length, in tokens, that half of the answers with a hint exceed.
func (f hintFit) typicalAnswer(hint float64, maxTokens int) float64 {
	samples := 1 / f.gain()
	slope := (samples*f.covariance + priorCount*priorSlope*priorVariance) / (samples*f.variance + priorCount*priorVariance)
	slope = min(max(0, slope), maxSlope)
	return limitTokens(math.Exp(f.meanAnswer+slope*(math.Log(hint)-f.meanHint)), maxTokens)
}

// calibration returns the factor from the typical to the mean length. Some answers are far longer than the
// typical one, so that a sum of typical lengths is less than that of the answers.
func (f hintFit) calibration() float64 {
	if f.typicalTokens <= 0 {
		return 1
	}
	samples := 1/f.gain() - minHintSamples
	factor := (samples*f.tokens + calibrationCount*f.typicalTokens) / ((samples + calibrationCount) * f.typicalTokens)
	return min(max(1/maxCalibration, factor), maxCalibration)
}

// unlearnedAnswer returns the expected length, in tokens, of an answer while the relation is unknown: the
// geometric mean of hint and fallback.
func unlearnedAnswer(hint, fallback float64) float64 {
	switch {
	case fallback <= 0:
		return hint
	case isHintAbsurd(hint, fallback):
		return fallback
	default:
		return math.Exp(priorSlope*math.Log(hint) + (1-priorSlope)*math.Log(fallback))
	}
}

// isHintAbsurd reports whether a hint is too far from a known length to count.
func isHintAbsurd(hint, tokens float64) bool {
	return hint > maxHintRatio*tokens || tokens > maxHintRatio*hint
}

// limitTokens limits a length to the maximum of its request; 0: no limit.
func limitTokens(tokens float64, maxTokens int) float64 {
	if maxTokens > 0 {
		return min(tokens, float64(maxTokens))
	}
	return tokens
}
