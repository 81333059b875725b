package backend

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/hornbeamway/hornbeamway/pkg/strictjson"
)

// Load is the answer to GET /load.
type Load struct {
	Slots    int  `json:"slots"`
	Busy     int  `json:"busy"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
	// AtMillis is the time that the report describes, in milliseconds since 1970.
	AtMillis int64 `json:"atMs"`
}

// handle answers every request.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	c, _ := ctx.Conn().(*conn)
	if c != nil {
		c.probe = false
		defer func() { c.received = 0 }()
	}
	switch string(ctx.Path()) {
	case "/load":
		s.probe(ctx, c)
	case "/faults":
		s.control(ctx, c)
	case "/journal":
		writeJSON(ctx, s.Journal(string(ctx.QueryArgs().Peek("key"))))
	case "/stats":
		writeJSON(ctx, s.Stats())
	default:
		if c == nil {
			ctx.Error("not served on the control address", fasthttp.StatusNotFound)
			return
		}
		s.work(ctx, c)
	}
}

// probe answers GET /load, as late or false as switched.
func (s *Server) probe(ctx *fasthttp.RequestCtx, c *conn) {
	f, _ := s.switches.get()
	now := s.clock.Now()
	if c != nil {
		s.stats.probes.Add(1)
		s.stats.probeBytes.Add(c.received)
		s.slots.charge(now, probeCost)
		c.probe = true
		if f.StallProbes {
			s.hold(c, func(f Faults) bool { return f.StallProbes })
			return
		}
	}
	writeJSON(ctx, s.load(now, f))
}

func (s *Server) load(now time.Time, f Faults) Load {
	if l := f.LoadFixed; l != nil {
		return Load{Slots: l.Slots, Busy: l.Busy, Queued: l.Queued, Draining: l.Draining, AtMillis: now.UnixMilli()}
	}
	at := now.Add(-time.Duration(f.LoadLagMillis) * time.Millisecond)
	busy, queued := s.slots.loadAt(at)
	return Load{Slots: s.options.Slots, Busy: busy, Queued: queued, Draining: f.Drain, AtMillis: at.UnixMilli()}
}

// faultsRequest is the body of POST /faults: fields that are not given stay as they are.
type faultsRequest struct {
	Faults
	// RefuseForMillis closes the listener for this time; 0 ends a refusal. It is done once and not kept.
	RefuseForMillis *int64 `json:"refuseForMs"`
	// SilenceConnections makes all open connections silent but the one that carries this request. Done once.
	SilenceConnections bool `json:"silenceConnections"`
}

// control shows and switches the faults.
func (s *Server) control(ctx *fasthttp.RequestCtx, c *conn) {
	if ctx.IsPost() {
		request := faultsRequest{Faults: s.Faults()}
		err := strictjson.Decode(ctx.PostBody(), &request)
		if err == nil {
			err = s.SetFaults(request.Faults)
		}
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.act(request, c)
	}
	writeJSON(ctx, s.Faults())
}

func (s *Server) act(request faultsRequest, c *conn) {
	if request.RefuseForMillis != nil {
		s.Refuse(time.Duration(*request.RefuseForMillis) * time.Millisecond)
	}
	if request.SilenceConnections {
		s.SilenceConnections(c)
	}
}

// hold keeps a request unanswered until its peer closes or the fault ends, and closes its connection.
func (s *Server) hold(c *conn, active func(Faults) bool) {
	gone, stop := c.watch()
	defer stop()
	defer func() { _ = c.Close() }()
	for {
		f, changed := s.switches.get()
		if !active(f) {
			return
		}
		select {
		case <-gone:
			return
		case <-s.server.Done():
			return
		case <-changed:
		}
	}
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
