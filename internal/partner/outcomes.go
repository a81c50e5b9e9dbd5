package partner

const failedPerEdge = 1.0

func (p *ReplicaPressure) Count(told Outcomes, near bool) {
	failed := min(told.Failed, failedPerEdge)
	p.Served += told.Served
	p.Failed += failed
	if near {
		p.NearServed += told.Served
		p.NearFailed += failed
	}
}

func (o Outlook) Trimmed() Outlook {
	for id, one := range o.Replicas {
		o.Total.Served += one.Served
		o.Total.Failed += one.Failed
		if one.Failed == 0 {
			one.Outcomes, one.NearServed = Outcomes{}, 0
		}
		o.Replicas[id] = one
		if one == (ReplicaPressure{}) {
			delete(o.Replicas, id)
		}
	}
	return o
}
