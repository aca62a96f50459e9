package retrier

// RetryReason is the name of the decision after a failed attempt, in kebab case.
type RetryReason string

// The retry reasons. Table describes each.
const (
	RetriedElsewhere  RetryReason = "retried-elsewhere"
	RetriedRepeatable RetryReason = "retried-repeatable"
	Moved             RetryReason = "moved"
	NotRetryable      RetryReason = "not-retryable"
	NotRepeatable     RetryReason = "not-repeatable"
	DeadlineTooClose  RetryReason = "deadline-too-close"
	RetriedDeeper     RetryReason = "retried-deeper"
	AttemptsExhausted RetryReason = "attempts-exhausted"
	BudgetExhausted   RetryReason = "budget-exhausted"
)

// Row describes one retry reason.
type Row struct {
	Reason RetryReason
	// Again reports whether another attempt follows.
	Again bool
	// Help is the text of the operators' page.
	Help string
}

// Table lists every retry reason.
var Table = []Row{
	{
		Reason: RetriedElsewhere,
		Again:  true,
		Help:   "the request did not run and is sent to another endpoint",
	},
	{
		Reason: RetriedRepeatable,
		Again:  true,
		Help:   "the request may have run, its route allows a repetition, and it is sent to another endpoint",
	},
	{
		Reason: Moved,
		Again:  true,
		Help:   "the endpoint refused the request for placement and it is sent to one with less load",
	},
	{
		Reason: NotRetryable,
		Help:   "another endpoint would refuse the request in the same way",
	},
	{
		Reason: NotRepeatable,
		Help:   "the request may have run and its route does not allow a repetition",
	},
	{
		Reason: DeadlineTooClose,
		Help:   "the time left is less than the request usually takes",
	},
	{
		Reason: RetriedDeeper,
		Help:   "another node of the call tree has already decided on a retry of this request",
	},
	{
		Reason: AttemptsExhausted,
		Help:   "the call has used all of its attempts",
	},
	{
		Reason: BudgetExhausted,
		Help:   "the service's retry budget is used up",
	},
}
