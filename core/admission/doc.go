// Package admission decides which request may use a slot next.
//
// A host has one Gate for each upstream that it owns endpoints of. The gate
// holds one queue for each rank and admits by the ranks' planned shares and
// floors. A request that cannot be answered in time is refused at once, as not
// run.
package admission
