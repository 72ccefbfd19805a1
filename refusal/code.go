package refusal

import "net/http"

// Code identifies a kind of refusal.
type Code string

// The codes of refusals.
const (
	BadRequest     Code = "badRequest"
	Unauthorized   Code = "unauthorized"
	Forbidden      Code = "forbidden"
	UnknownModel   Code = "unknownModel"
	UnknownService Code = "unknownService"
	UnknownCall    Code = "unknownCall"
	UnknownAnswer  Code = "unknownAnswer"
	// AnswerUnreachable means that an instance that may have the answer has not replied.
	AnswerUnreachable Code = "answerUnreachable"
	BodyTooLarge      Code = "bodyTooLarge"
	KeyRequired       Code = "keyRequired"
	KeyReused         Code = "keyReused"
	KeyExpired        Code = "keyExpired"
	InProgress        Code = "inProgress"
	AnswerNotKept     Code = "answerNotKept"
	DeadlineTooShort  Code = "deadlineTooShort"
	DeadlinePassed    Code = "deadlinePassed"
	LimitExceeded     Code = "limitExceeded"
	Overloaded        Code = "overloaded"
	NoServer          Code = "noServer"
	NoCopy            Code = "noCopy"
	ServerRefused     Code = "serverRefused"
	LogUnavailable    Code = "logUnavailable"
	OutcomeUnknown    Code = "outcomeUnknown"
	AnswerLost        Code = "answerLost"
	NotReady          Code = "notReady"
	ShuttingDown      Code = "shuttingDown"
)

// properties are the HTTP status and the default run state of a code.
type properties struct {
	status int
	run    RunState
}

var table = map[Code]properties{
	BadRequest:        {http.StatusBadRequest, NotRun},
	Unauthorized:      {http.StatusUnauthorized, NotRun},
	Forbidden:         {http.StatusForbidden, NotRun},
	UnknownModel:      {http.StatusNotFound, NotRun},
	UnknownService:    {http.StatusNotFound, NotRun},
	UnknownCall:       {http.StatusNotFound, NotRun},
	UnknownAnswer:     {http.StatusNotFound, Unknown},
	AnswerUnreachable: {http.StatusServiceUnavailable, Unknown},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, NotRun},
	KeyRequired:       {http.StatusBadRequest, NotRun},
	KeyReused:         {http.StatusUnprocessableEntity, NotStarted},
	KeyExpired:        {http.StatusGone, Unknown},
	InProgress:        {http.StatusConflict, Unknown},
	AnswerNotKept:     {http.StatusGone, Ran},
	DeadlineTooShort:  {http.StatusServiceUnavailable, NotRun},
	DeadlinePassed:    {http.StatusGatewayTimeout, Unknown},
	LimitExceeded:     {http.StatusTooManyRequests, NotRun},
	Overloaded:        {http.StatusServiceUnavailable, NotRun},
	NoCopy:            {http.StatusServiceUnavailable, Unknown},
	NoServer:          {http.StatusServiceUnavailable, NotRun},
	ServerRefused:     {http.StatusServiceUnavailable, NotRun},
	LogUnavailable:    {http.StatusServiceUnavailable, NotStarted},
	OutcomeUnknown:    {http.StatusBadGateway, Unknown},
	AnswerLost:        {http.StatusBadGateway, Unknown},
	NotReady:          {http.StatusServiceUnavailable, NotRun},
	ShuttingDown:      {http.StatusServiceUnavailable, NotRun},
}

// Codes returns all codes in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(table))
	for code := range table {
		codes = append(codes, code)
	}

	return codes
}

// Status returns the HTTP status of the code.
func (c Code) Status() int {
	return table[c].status
}

// Run returns the default run state of the code, which WithRun can replace in a
// refusal.
func (c Code) Run() RunState {
	return table[c].run
}
