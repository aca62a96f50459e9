package retrier

// RetryReason is the name of the decision about a retry after a failed attempt, in kebab
// case.
type RetryReason string

// The retry reasons, which Table describes.
const (
	RetriedElsewhere   RetryReason = "retried-elsewhere"
	RetriedRepeatable  RetryReason = "retried-repeatable"
	Moved              RetryReason = "moved"
	NotRetryable       RetryReason = "not-retryable"
	NotRepeatable      RetryReason = "not-repeatable"
	DeadlineTooClose   RetryReason = "deadline-too-close"
	DecidedByOtherNode RetryReason = "retried-deeper"
	AttemptsExhausted  RetryReason = "attempts-exhausted"
	BudgetExhausted    RetryReason = "budget-exhausted"
)

// Row describes one retry reason.
type Row struct {
	Reason RetryReason
	// Retried reports whether another attempt follows.
	Retried bool
	// Help is the description on the operators' reference page.
	Help string
}

// Table lists every retry reason.
var Table = []Row{
	{
		Reason:  RetriedElsewhere,
		Retried: true,
		Help:    "the request did not run and is retried at another endpoint",
	},
	{
		Reason:  RetriedRepeatable,
		Retried: true,
		Help:    "the request may have run, its route allows it to run again, and it is retried at another endpoint",
	},
	{
		Reason:  Moved,
		Retried: true,
		Help:    "the endpoint refused the request for placement, and it is sent to another one with less load",
	},
	{
		Reason: NotRetryable,
		Help:   "other endpoints would refuse the request for the same reason",
	},
	{
		Reason: NotRepeatable,
		Help:   "the request may have run, and its route does not allow it to run again",
	},
	{
		Reason: DeadlineTooClose,
		Help:   "the time left until the deadline is less than the median latency of the service",
	},
	{
		Reason: DecidedByOtherNode,
		Help:   "another node in the call tree has already decided whether to retry this request",
	},
	{
		Reason: AttemptsExhausted,
		Help:   "the call has reached its maximum number of attempts",
	},
	{
		Reason: BudgetExhausted,
		Help:   "the retry budget of the service is exhausted",
	},
}
