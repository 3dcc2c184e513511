package shuntmemory

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
)

// evictionLimit is the limit of the account in TestEviction, and bodies the part of it that
// bodies may take.
const (
	evictionLimit = 1 << 20
	bodies        = evictionLimit * 5 / 8
)

// evictionCase describes holders that have been open for 10 s, and the needs of another one.
type evictionCase struct {
	holders []evictionHolder
	reserve int64
	isWork  bool
	// evicted are the indexes of the holders that are evicted.
	evicted []int
	refused bool
}

type evictionHolder struct {
	bytes int64
	// moved is when the holder last made progress.
	moved     time.Duration
	protected bool
}

// TestEviction checks which holders are evicted when another one needs their memory.
func TestEviction(t *testing.T) {
	type holder = evictionHolder
	cases := map[string]evictionCase{
		"room":                        {holders: []holder{{bytes: bodies / 2}}, reserve: bodies / 2},
		"the largest of the stalled":  {holders: []holder{{bytes: bodies / 2}, {bytes: bodies / 4}}, reserve: bodies / 2, evicted: []int{0}},
		"the longest stalled":         {holders: []holder{{bytes: bodies / 2, moved: 9 * time.Second}, {bytes: bodies / 2}}, reserve: bodies / 2, evicted: []int{1}},
		"as many as needed":           {holders: []holder{{bytes: bodies / 2}, {bytes: bodies / 2}}, reserve: bodies, evicted: []int{0, 1}},
		"none that moved just now":    {holders: []holder{{bytes: bodies, moved: 10*time.Second - minStall/2}}, reserve: bodies / 2, refused: true},
		"none that moves":             {holders: []holder{{bytes: bodies, moved: 10 * time.Second}}, reserve: bodies / 2, refused: true},
		"none that is protected":      {holders: []holder{{bytes: bodies, protected: true}}, reserve: bodies / 2, refused: true},
		"small ones use the reserve":  {holders: []holder{{bytes: bodies, protected: true}}, reserve: smallBytes},
		"work uses the reserve":       {holders: []holder{{bytes: bodies, protected: true}}, reserve: evictionLimit - bodies, isWork: true},
		"work beyond the reserve":     {holders: []holder{{bytes: bodies, protected: true}}, reserve: evictionLimit - bodies + 1, isWork: true, refused: true},
		"longer than the whole limit": {holders: []holder{{bytes: bodies}}, reserve: 2 * evictionLimit, evicted: []int{0}, refused: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, c.check) })
	}
}

func (c evictionCase) check(t *testing.T) {
	a := New(Config{Limit: evictionLimit})
	var evicted []int
	began := time.Now()
	for i, given := range c.holders {
		h := a.Open()
		defer h.Close()
		h.Add(given.bytes)
		if !given.protected {
			h.SetEvict(func() { evicted = append(evicted, i) })
		}
		h.movedAt = began.Add(given.moved)
	}
	time.Sleep(10 * time.Second)
	needs := a.Open()
	defer needs.Close()
	err := needs.reserve(c.reserve, c.isWork)
	if refused := errors.Is(err, ErrShort); refused != c.refused || (err == nil) == refused {
		t.Errorf("%v; want refused %v", err, c.refused)
	}
	slices.Sort(evicted)
	if !slices.Equal(evicted, c.evicted) {
		t.Errorf("holders %v are evicted; want %v", evicted, c.evicted)
	}
}

// TestAccountSum checks at random that the account holds what its holders hold and never
// more than its limit, and nothing at the end.
func TestAccountSum(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) { checkSum(t, seed) })
	}
}

func checkSum(t *testing.T, seed uint64) {
	const limit = 1 << 20
	random := rand.New(rand.NewPCG(seed, 1))
	a := New(Config{Limit: limit})
	holders := make([]*Holder, 10)
	for range 500 {
		i := random.IntN(len(holders))
		if holders[i] == nil || holders[i].Ended() {
			holders[i] = a.Open()
		}
		change(holders[i], random, limit)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		sum := int64(0)
		for h := range a.holders {
			sum += h.bytes
		}
		if used := a.Counts().Used; used != sum || used > limit {
			t.Fatalf("seed %d: %d bytes used, %d held; the limit is %d", seed, used, sum, limit)
		}
	}
	for _, h := range holders {
		h.Close()
	}
	if used := a.Counts().Used; used != 0 {
		t.Fatalf("seed %d: %d bytes used without holders", seed, used)
	}
}

// change does something with the holder at random.
func change(h *Holder, random *rand.Rand, limit int64) {
	switch random.IntN(6) {
	case 0:
		h.Close()
	case 1:
		h.SetEvict(nil)
	case 2:
		h.SetEvict(func() {})
	default:
		// An error means that nothing was taken.
		_ = h.reserve(random.Int64N(limit/2), random.IntN(2) == 0)
	}
}

// TestHeadBytes checks what counts of a header.
func TestHeadBytes(t *testing.T) {
	cases := map[string]struct {
		text string
		want int64
	}{
		"a part":             {"a: b\r\nc", 7 + FieldBytes},
		"a body behind it":   {"a: b\r\nc: d\r\n\r\n\n\n\n", 10 + FieldBytes},
		"a line without end": {"abc", 3},
	}
	for name, c := range cases {
		if got := HeadBytes([]byte(c.text)); got != c.want {
			t.Errorf("%s: %d; want %d", name, got, c.want)
		}
	}
}
