package costing

// backlog is the fluid of calls that wait, oldest first.
type backlog struct {
	parcels []parcel
}

// parcel is the work that arrived in one minute.
type parcel struct {
	arrived int
	work    float64
	// late is set where the work counted as late when it arrived.
	late bool
}

// arrive adds work of a minute.
func (b *backlog) arrive(minute int, work float64, late bool) {
	if work > 0 {
		b.parcels = append(b.parcels, parcel{arrived: minute, work: work, late: late})
	}
}

// serve takes work off the front and returns how much of it was late only now.
func (b *backlog) serve(minute int, capacity float64, patience int) float64 {
	late := 0.0

	for len(b.parcels) > 0 && capacity > 0 {
		first := &b.parcels[0]
		done := min(capacity, first.work)
		capacity -= done
		first.work -= done

		if !first.late && minute-first.arrived > patience {
			late += done
		}

		if first.work <= 0 {
			b.parcels = b.parcels[1:]
		}
	}

	return late
}

// rest returns the work that still waits and was not counted late yet, and is
// overdue at minute.
func (b *backlog) rest(minute, patience int) float64 {
	late := 0.0

	for _, p := range b.parcels {
		if !p.late && minute-p.arrived > patience {
			late += p.work
		}
	}

	return late
}
