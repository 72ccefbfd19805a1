package claim

// Reason tells why a verdict isn't Ran.
type Reason string

// The reasons of verdicts.
const (
	ReasonNone           Reason = ""
	ReasonLogDown        Reason = "logDown"
	ReasonClaimSlow      Reason = "claimSlow"
	ReasonNotReady       Reason = "notReady"
	ReasonOverloaded     Reason = "overloaded"
	ReasonDeadline       Reason = "deadline"
	ReasonCanceled       Reason = "canceled"
	ReasonVoided         Reason = "voided"
	ReasonDeclined       Reason = "declined"
	ReasonClaimantGone   Reason = "claimantGone"
	ReasonClaimantSilent Reason = "claimantSilent"
	ReasonBroken         Reason = "broken"
	ReasonUncertain      Reason = "uncertain"
)
