package entry

import "sync/atomic"

const (
	// retryCost is the number of requests that allow one retry.
	retryCost = 10
	// maxBalance bounds the balance that earlier requests can build up: 100 retries.
	maxBalance = 100 * retryCost
	// minBalance lets a process without earlier requests retry 10 times.
	minBalance = -10 * retryCost
)

// retryBudget limits retries to a tenth of the requests. Its zero value allows 10 retries.
type retryBudget struct{ balance atomic.Int64 }

// deposit counts one request.
func (b *retryBudget) deposit() {
	if b.balance.Load() < maxBalance {
		b.balance.Add(1)
	}
}

// tryWithdraw reports whether a retry is allowed, and if so counts it.
func (b *retryBudget) tryWithdraw() bool {
	for {
		n := b.balance.Load()
		if n-retryCost < minBalance {
			return false
		}
		if b.balance.CompareAndSwap(n, n-retryCost) {
			return true
		}
	}
}
