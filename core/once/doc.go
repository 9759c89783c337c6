// Package once runs work that may not be repeated at most once for each ticket
// or key. It carries out what package ticket decides: it keeps the runs whose
// home this process is, writes claims and tombstones into the platform's table,
// and passes other work to its home.
package once
