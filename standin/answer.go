package standin

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	minAnswerTokens  = 16
	answerTokenRange = 240
	tokenRange       = 36 * 36 * 36
	tokenBase        = 36
	finishStop       = "stop"
	finishLength     = "length"
)

// ExpectedToken returns the token at an offset of the answer to a prompt.
func ExpectedToken(model, prompt string, offset int) string {
	hash := xxhash.Sum64String(strconv.Itoa(offset) + "\x00" + model + "\x00" + prompt)

	return " " + strconv.FormatUint(hash%tokenRange, tokenBase)
}

// ExpectedAnswer returns the tokens of the answer to a prompt, of which there
// are at most maxTokens where that is above zero.
func ExpectedAnswer(model, prompt string, maxTokens int) []string {
	tokens := make([]string, answerTokens(model, prompt, maxTokens))
	for i := range tokens {
		tokens[i] = ExpectedToken(model, prompt, i)
	}

	return tokens
}

// ExpectedFinish returns how the answer to a prompt ends: "stop" or "length".
func ExpectedFinish(model, prompt string, maxTokens int) string {
	if maxTokens > 0 && maxTokens < naturalTokens(model, prompt) {
		return finishLength
	}

	return finishStop
}

func answerTokens(model, prompt string, maxTokens int) int {
	natural := naturalTokens(model, prompt)
	if maxTokens > 0 {
		return min(natural, maxTokens)
	}

	return natural
}

// naturalTokens is where an answer ends of itself.
func naturalTokens(model, prompt string) int {
	return minAnswerTokens + int(xxhash.Sum64String(model+"\x00"+prompt)%answerTokenRange)
}
