package discovery

import "slices"

// SameReplica says whether two entries say the same of a replica, apart from its models, its warm-up and the time that it
// has left.
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

// SameModels says whether two lists of models are the same, in order too.
func SameModels(left, right []LoadedModel) bool {
	return slices.EqualFunc(left, right, func(former, latter LoadedModel) bool {
		return former.Name == latter.Name && former.Revision == latter.Revision && slices.Equal(former.Adapters, latter.Adapters)
	})
}
