// Package retention holds how long cached context may be kept, and the purges: orders to forget cached context.
//
// It drops no context itself: data planes and the scheduler do, and report when they have. Everything in it is
// pure. The JSON names are those of the operators' API and of records in the keystore. Start reading at Policy
// and Purge.
package retention
