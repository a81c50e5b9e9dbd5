// Package retention defines how long cached context may be kept, and purges, which are orders to drop cached context.
//
// It drops no context itself: the data planes and the scheduler do, and report their progress. The package does no IO and reads
// no clock. The JSON names are part of the operators' API and of the records in the keystore. Start reading at Policy and Purge.
package retention
