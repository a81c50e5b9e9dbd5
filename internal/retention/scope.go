package retention

import (
	"strconv"
	"strings"

	"ferryspar/internal/apierror"
)

// Scope says which context to forget: that of a model or adapter, that of a prompt part, that of both together, or
// all context if it is empty.
type Scope struct {
	// Model is "model" or "model/adapter".
	Model string `json:"model,omitempty"`
	// PromptPart is the part's id in hexadecimal.
	PromptPart string `json:"part,omitempty"`
}

// Check returns an error of kind apierror.InvalidRetention for a prompt part that is no id.
func (s Scope) Check() error {
	if s.PromptPart == "" {
		return nil
	}
	if _, err := parsePartID(s.PromptPart); err != nil {
		return apierror.New(apierror.InvalidRetention, "part %q is no prompt part id in hex", s.PromptPart)
	}
	return nil
}

// Covers reports whether the scope includes the context of a prompt part under a reference, "model" or
// "model/adapter".
func (s Scope) Covers(reference string, part uint64) bool {
	return s.coversReference(reference) && s.coversPart(part)
}

func (s Scope) coversReference(reference string) bool {
	return s.Model == "" || s.Model == reference || s.Model == modelOf(reference)
}

func (s Scope) coversPart(part uint64) bool {
	if s.PromptPart == "" {
		return true
	}
	id, err := parsePartID(s.PromptPart)
	return err == nil && id == part
}

// CoversModel reports whether replicas must drop context of a model for the scope. A scope of an adapter covers the
// adapter's model.
func (s Scope) CoversModel(model string) bool {
	base := modelOf(s.Model)
	return base == "" || base == model
}

// modelOf returns the model of a reference, "model" or "model/adapter".
func modelOf(reference string) string {
	model, _, _ := strings.Cut(reference, "/")
	return model
}

func parsePartID(id string) (uint64, error) { return strconv.ParseUint(id, 16, 64) }
