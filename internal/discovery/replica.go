package discovery

// LoadedModel is a model that a replica holds, with its adapters.
type LoadedModel struct {
	Name     string   `json:"name"`
	Revision int64    `json:"revision"`
	Adapters []string `json:"adapterList"`
}

// Replica is an entry of the platform's list. Times are milliseconds; TimeLeftMs is nil unless the
// platform has announced the end of the replica.
type Replica struct {
	ID                string        `json:"id"`
	Backend           string        `json:"backend"`
	Address           string        `json:"address"`
	Zone              string        `json:"zone"`
	Revision          string        `json:"revision"`
	Slots             int           `json:"slots"`
	State             string        `json:"state"`
	WarmUpRemainingMs float64       `json:"coldRemainingMs"`
	TimeLeftMs        *float64      `json:"timeLeftMs,omitempty"`
	Phase             Phase         `json:"phase,omitempty"`
	Models            []LoadedModel `json:"modelList"`
}

// States of a replica, as the platform's list names them.
const (
	// StateReady is the state of a replica that takes requests.
	StateReady = "ready"
	// StateDraining is the state of a replica that is to end.
	StateDraining = "draining"
)

// Phase is the part of a generation that a replica does. It may change while the replica runs.
type Phase string

// The phases, as the platform's list and replicas' reports name them. An empty one counts as PhaseUnified.
const (
	// PhaseUnified replicas read prompts and make tokens.
	PhaseUnified Phase = "unified"
	// PhasePrefill replicas only read prompts, and hold what they read for a decode replica to fetch.
	PhasePrefill Phase = "prefill"
	// PhaseDecode replicas make tokens from what a prefill replica read, or read short prompts themselves at a slower pace.
	PhaseDecode Phase = "decode"
)

// Page is a part of the list; NextToken is nil on the last.
type Page struct {
	Instances []Replica `json:"instances"`
	NextToken *string   `json:"nextToken"`
}

// HasLoaded tells whether the replica has loaded the model and, unless that is empty, the adapter.
func (r Replica) HasLoaded(model, adapter string) bool {
	for _, loaded := range r.Models {
		if loaded.Name != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, name := range loaded.Adapters {
			if name == adapter {
				return true
			}
		}
	}
	return false
}
