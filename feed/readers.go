// Package feed shares the reads of the platform's store within a data centre: a few daemons read a
// topic, and the others get its records from them, with the age of the read behind each page. Who
// reads for whom follows from the known daemons, without an agreement.
package feed

import (
	"cmp"
	"slices"

	"github.com/gypsumhook/gypsum"
)

// Daemon is a daemon as its record describes it.
type Daemon struct {
	Host     gypsum.HostID
	Address  string
	Location gypsum.Location
	CPUShare float64
	// SharesReads means that the daemon serves what it reads. Daemons of older builds do not.
	SharesReads bool
}

// Parameters of the choice of readers.
const (
	// strongHostShare is the share of a CPU core from which a host counts as strong. A reader
	// responds to about 160 requests a second at 50 daemons in its data centre.
	strongHostShare = 0.5
	// readersPerTopic is the number of daemons of a data centre that read a topic, and
	// fewReaders that of a data centre of less than manyDaemons.
	readersPerTopic = 3
	fewReaders      = 2
	manyDaemons     = 12
)

// candidate is a daemon that may read a topic, with its rank: the lower ones read.
type candidate struct {
	daemon *Daemon
	weak   bool
	score  uint64
}

// compareCandidates compares the ranks of two candidates.
func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(boolRank(a.weak), boolRank(b.weak)), cmp.Compare(a.score, b.score), cmp.Compare(a.daemon.Host, b.daemon.Host))
}

// Readers returns the daemons of a data centre that read a topic, in the order of rendezvous
// hashing, with hosts with a small CPU share last. excluded reports the daemons that do not respond.
func Readers(topic gypsum.Topic, dataCentre gypsum.DataCentre, daemons []Daemon, excluded func(gypsum.HostID) bool) []Daemon {
	best := make([]candidate, 0, readersPerTopic+1)
	count := 0
	for i := range daemons {
		daemon := &daemons[i]
		if !daemon.SharesReads || daemon.Location.DataCentre != dataCentre || excluded(daemon.Host) {
			continue
		}
		count++
		next := candidate{daemon: daemon, weak: daemon.CPUShare < strongHostShare, score: gypsum.RendezvousScore(string(topic), string(daemon.Host))}
		position, _ := slices.BinarySearchFunc(best, next, compareCandidates)
		best = slices.Insert(best, position, next)
		best = best[:min(len(best), readersPerTopic)]
	}
	if count < manyDaemons {
		best = best[:min(len(best), fewReaders)]
	}
	readers := make([]Daemon, 0, len(best))
	for _, reader := range best {
		readers = append(readers, *reader.daemon)
	}
	return readers
}

// boolRank returns 1 for true and 0 for false.
func boolRank(value bool) int {
	if value {
		return 1
	}
	return 0
}

// preferred sorts the readers of a topic by the preference of a daemon, so that the daemons of a
// data centre spread over its readers.
func preferred(topic gypsum.Topic, self gypsum.HostID, readers []Daemon) []Daemon {
	sorted := slices.Clone(readers)
	slices.SortFunc(sorted, func(a, b Daemon) int {
		item := string(topic) + "/" + string(self)
		return cmp.Compare(gypsum.RendezvousScore(item, string(a.Host)), gypsum.RendezvousScore(item, string(b.Host)))
	})
	return sorted
}
