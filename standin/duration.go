package standin

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// Duration is a time.Duration that is text in JSON, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return merry.Prepend(err, "parse duration")
	}

	*d = Duration(parsed)

	return nil
}
