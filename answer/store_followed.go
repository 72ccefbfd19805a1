package answer

import "time"

// Follow notes that a caller reads an answer here.
func (s *Store) Follow(now time.Time, id RequestID) []StoreCommand {
	s.begin(now)

	if a, ok := s.answers[id]; ok && a.role == roleCopy {
		s.follow(now, id)
	}

	return s.finish()
}

// follow makes the owner of an answer know that it has a reader, who is not
// connected to it. A copy tells its owner now and then.
func (s *Store) follow(now time.Time, id RequestID) {
	a, ok := s.answers[id]
	if !ok || a.end != nil {
		return
	}

	if a.role == roleOwner {
		s.emit(FollowedElsewhere{ID: id})

		return
	}

	if now.Sub(a.followedAt) < s.Policy.FollowedEvery {
		return
	}

	a.followedAt = now
	b := s.box.to(a.epoch.Owner)
	b.Followed = append(b.Followed, Followed{ID: id})
}

func (s *Store) onFollowed(m Followed) {
	if a, ok := s.answers[m.ID]; ok && a.role == roleOwner {
		s.emit(FollowedElsewhere(m))
	}
}
