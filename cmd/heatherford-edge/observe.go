package main

import (
	"context"

	"heatherford/core/code"
	"heatherford/core/edge"
	"heatherford/core/registry"
)

func (d *daemon) hear(t *edge.Heartbeat) {
	d.edge.HandleHeartbeat(t)
}

func (d *daemon) book(ctx context.Context, since [registry.NumParts]registry.Version) (*edge.Delta, error) {
	return d.edge.Delta(ctx, since)
}

func (d *daemon) take(ctx context.Context, c *edge.ForwardRequest) *edge.ForwardResult {
	return d.edge.HandleForward(ctx, c)
}

// observe logs the end of a request.
func (d *daemon) observe(o *edge.Observation) {
	d.monitor.Observe(o)
	q, a := o.Request, o.Answer
	name := ""
	if o.Route != nil {
		name = o.Route.Name
	}
	log := d.log.Log
	if a.Code != code.Answered {
		log = d.log.Urgent
	}
	log("request", "request", q.ID, "route", name, "version", o.Version, "status", a.Status, "code", int(a.Code), "endpoint", a.Endpoint,
		"attempts", o.Attempts, "hedges", o.Hedges, "took", o.Ended.Sub(q.Arrived), "detail", a.Detail)
}
