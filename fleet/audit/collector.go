package audit

import (
	"cmp"
	"slices"
	"time"
)

// Collector fetches the closed segments of all fronts. It sends one request at a time to each front, and limits the bytes a second that
// it receives from all fronts together.
type Collector struct {
	BytesReceived    int64
	SegmentsReceived int

	timeout time.Duration // after which an unanswered request is sent again
	budget  tokenBucket
	fronts  map[string]*frontFetch
	first   int // index of the front that is asked first; it rotates with each step
}

// tokenBucket limits the rate of received bytes.
type tokenBucket struct {
	rate      float64 // bytes a second
	available float64 // in bytes
	filledAt  time.Duration
}

// fill adds the bytes that the time since the last call allows, up to those of one second.
func (b *tokenBucket) fill(now time.Duration) {
	b.available = min(b.available+b.rate*(now-b.filledAt).Seconds(), max(b.rate, ChunkBytes))
	b.filledAt = now
}

// frontFetch is the state of fetching from one front.
type frontFetch struct {
	latest string   // name of the newest segment that was fetched
	wanted []string // names of segments to fetch, oldest first

	request     *FetchRequest // that waits for its response, nil for none
	requestedAt time.Duration
	idleUntil   time.Duration // when to ask for names of segments again

	data [segmentFileCount][]byte // of the first wanted segment, as far as received
	file int                      // index in data of the file that is being fetched
}

// Files of a segment, in the order in which they are fetched.
const (
	indexFile = iota
	logFile
	segmentFileCount
)

// finishSegment continues with the segment after the first wanted one.
func (f *frontFetch) finishSegment() {
	f.wanted, f.file, f.data = f.wanted[1:], indexFile, [segmentFileCount][]byte{}
}

// NewCollector makes a Collector that receives up to rate bytes a second. A request without a response is sent again after the timeout,
// and a front whose known segments are all fetched is asked for new ones after twice the timeout. have are the names of the segments that
// were fetched before, for example before a restart: of each front, only segments newer than the newest of them are fetched.
func NewCollector(rate int64, timeout time.Duration, have []string) *Collector {
	c := &Collector{timeout: timeout, budget: tokenBucket{rate: float64(rate)}, fronts: map[string]*frontFetch{}}
	for _, name := range have {
		if front, _, ok := ParseLogName(name + LogSuffix); ok {
			f := c.front(front)
			f.latest = max(f.latest, name)
		}
	}
	return c
}

// front returns the state of fetching from a front, which it adds if there is none yet.
func (c *Collector) front(name string) *frontFetch {
	f := c.fronts[name]
	if f == nil {
		f = &frontFetch{}
		c.fronts[name] = f
	}
	return f
}

// PendingFetch is a request to send to a front.
type PendingFetch struct {
	Front   string
	Request FetchRequest
}

// Step returns the requests to send now. fronts are the present fronts of the fleet.
func (c *Collector) Step(now time.Duration, fronts []string) (fetches []PendingFetch) {
	c.budget.fill(now)
	slices.Sort(fronts)
	for k := range fronts {
		name := fronts[(k+c.first)%len(fronts)]
		f := c.front(name)
		if f.request != nil && now-f.requestedAt < c.timeout || f.request == nil && len(f.wanted) == 0 && now < f.idleUntil {
			continue
		}
		request := FetchRequest{After: f.latest}
		if len(f.wanted) > 0 {
			if c.budget.available < ChunkBytes {
				continue
			}
			c.budget.available -= ChunkBytes
			request = FetchRequest{Name: f.wanted[0], Index: f.file == indexFile, Offset: int64(len(f.data[f.file]))}
		}
		f.request, f.requestedAt = &request, now
		fetches = append(fetches, PendingFetch{name, request})
	}
	c.first++
	return fetches
}

// File is a file that was fetched completely.
type File struct {
	Name string // including its suffix
	Data []byte
}

// OnResponse handles a response. It returns the two files of a segment that the response completes. A response that was not requested, or
// is a duplicate, changes nothing.
func (c *Collector) OnResponse(now time.Duration, front string, r *FetchResponse) (complete []File) {
	f := c.fronts[front]
	if f == nil || f.request == nil || *f.request != r.Request {
		return nil
	}
	f.request = nil
	c.BytesReceived += int64(len(r.Data))
	if r.Request.Name == "" {
		f.idleUntil = now + 2*c.timeout
		f.addWanted(front, r.Names)
		return nil
	}
	c.budget.available += ChunkBytes - float64(len(r.Data))
	if r.Removed || r.Total > maxFileBytes {
		f.finishSegment()
		return nil
	}
	if !f.addChunk(r) {
		return nil
	}
	name := f.wanted[0]
	complete = []File{{name + IndexSuffix, f.data[indexFile]}, {name + LogSuffix, f.data[logFile]}}
	f.latest = name
	f.finishSegment()
	c.SegmentsReceived++
	return complete
}

// addWanted adds the names of those segments of the front that are newer than all known ones.
func (f *frontFetch) addWanted(front string, names []string) {
	for _, name := range names {
		newest := f.latest
		if n := len(f.wanted); n > 0 {
			newest = cmp.Or(f.wanted[n-1], f.latest)
		}
		if of, _, ok := ParseLogName(name + LogSuffix); ok && of == front && name > newest {
			f.wanted = append(f.wanted, name)
		}
	}
}

// addChunk adds a chunk to the file that is being fetched. complete reports whether it was the last chunk of the segment.
func (f *frontFetch) addChunk(r *FetchResponse) (complete bool) {
	data := &f.data[f.file]
	*data = append(*data, r.Data...)
	if int64(len(*data)) < r.Total && len(r.Data) > 0 {
		return false
	}
	if int64(len(*data)) != r.Total { // the file was replaced meanwhile: fetch it from its beginning
		*data = nil
		return false
	}
	f.file++
	return f.file == segmentFileCount
}
