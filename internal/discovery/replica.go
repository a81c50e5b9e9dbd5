package discovery

// LoadedModel is a model that a replica has loaded, with its loaded adapters.
type LoadedModel struct {
	Name     string   `json:"name"`
	Revision int64    `json:"revision"`
	Adapters []string `json:"adapterList"`
}

// Replica is an entry of the platform's list. Times are in milliseconds; TimeLeftMs is nil unless the platform has announced
// the termination of the replica.
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

// The states of a replica in the platform's list.
const (
	// StateReady is the state of a replica that accepts requests.
	StateReady = "ready"
	// StateDraining is the state of a replica that is about to terminate.
	StateDraining = "draining"
)

// Phase is the generation phase that a replica executes. It may change while the replica runs.
type Phase string

// The phases in the platform's list and in replicas' reports. An empty phase counts as PhaseUnified.
const (
	// PhaseUnified replicas execute prefill and decode.
	PhaseUnified Phase = "unified"
	// PhasePrefill replicas only execute prefill, and hold the KV cache until a decode replica fetches it.
	PhasePrefill Phase = "prefill"
	// PhaseDecode replicas generate tokens from KV cache fetched from a prefill replica. They can also prefill short prompts
	// themselves, at a lower rate.
	PhaseDecode Phase = "decode"
)

// Page is a page of the list; NextToken is nil on the last page.
type Page struct {
	Instances []Replica `json:"instances"`
	NextToken *string   `json:"nextToken"`
}

// HasLoaded reports whether the replica has loaded the model and, unless it is empty, the adapter.
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
