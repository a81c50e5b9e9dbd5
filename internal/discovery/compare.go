package discovery

import "slices"

// SameReplica reports whether two entries are equal, ignoring models, remaining warm-up time and remaining lifetime.
func SameReplica(left, right Replica) bool {
	return left.ID == right.ID &&
		left.Backend == right.Backend &&
		left.Address == right.Address &&
		left.Zone == right.Zone &&
		left.Revision == right.Revision &&
		left.Slots == right.Slots &&
		left.State == right.State &&
		left.Phase == right.Phase
}

// SameModels reports whether two lists of models are equal, including their order.
func SameModels(left, right []LoadedModel) bool {
	return slices.EqualFunc(left, right, func(former, latter LoadedModel) bool {
		return former.Name == latter.Name && former.Revision == latter.Revision && slices.Equal(former.Adapters, latter.Adapters)
	})
}
