package claim

// Reason explains a verdict other than Ran.
type Reason string

// Reasons of verdicts.
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
