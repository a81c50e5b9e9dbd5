package placement

import "strings"

const (
	// adapterSeparator stands between model and adapter in a reference.
	adapterSeparator = "/"
	// backendSeparator stands between backend and reference in a ModelKey.
	backendSeparator = " "
)

// Reference names an adapter of a model as model/adapter, or the model itself if adapter is empty.
func Reference(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + adapterSeparator + adapter
}

// SplitReference returns the model and the adapter of a reference; the adapter of a model is empty.
func SplitReference(reference string) (model, adapter string) {
	model, adapter, _ = strings.Cut(reference, adapterSeparator)
	return model, adapter
}

// IsAdapter tells whether a reference names an adapter.
func IsAdapter(reference string) bool { return strings.Contains(reference, adapterSeparator) }

// ModelKey names a reference of a backend in View.Demand and View.Loading.
func ModelKey(backend, reference string) string { return backend + backendSeparator + reference }

// SplitModelKey returns the backend and the reference of a ModelKey.
func SplitModelKey(key string) (backend, reference string) {
	backend, reference, _ = strings.Cut(key, backendSeparator)
	return backend, reference
}
