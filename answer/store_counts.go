package answer

// StoreCounts counts what a Store holds and did.
type StoreCounts struct {
	// Answers is the number of requests held, owned or copied.
	Answers int
	// Takeovers counts requests taken over from an owner that was gone.
	Takeovers int
	// Superseded counts requests given up to a newer owner.
	Superseded int
	// Replaced counts copies that were silent and gave their place to another.
	Replaced int
	// Unprotected counts tokens shown while there was no copy.
	Unprotected int
	// PrefixLost counts requests refused because the copy lacked tokens that a
	// caller may have seen.
	PrefixLost int
}
