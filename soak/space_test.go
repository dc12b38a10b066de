package soak

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/toucanhatch/toucanhatch/platform/local"
)

// smallSpace leaves a partition space for a few ordinary jobs, so that some are refused and, at takeovers, some are deferred.
const smallSpace = `[limits]
partition = 20_000
`

// spaceShare is how many jobs there are to one with a long specification while space is small.
const spaceShare = 5

// TestSpace does the same as TestSoak with owners that have little space for jobs, which large jobs use up.
func TestSpace(t *testing.T) {
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed, nil, smallSpace) })
	}
}

// longJob returns the body of a job with a specification of 10 to 60 KB.
func longJob(rng *rand.Rand) string {
	return local.LongTwoSteps(fmt.Sprint(100+rng.IntN(400)), 300, 10, 2, 10_000+rng.IntN(50_000))
}
