/// \file
/// Binary heap over table indexes with removal and re-keying by index.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace shallotlatch {

/// Min-heap of indexes below a fixed capacity. All changes are O(log n).
template <typename Key> class IndexedHeap {
public:
  explicit IndexedHeap(uint32_t Capacity) : Places(Capacity, Absent) {}

  bool empty() const { return this->Items.empty(); }
  uint32_t size() const { return static_cast<uint32_t>(this->Items.size()); }
  bool contains(uint32_t Index) const { return this->Places[Index] != Absent; }
  uint32_t top() const { return this->Items[0].second; }
  const Key &topKey() const { return this->Items[0].first; }
  /// Index at heap position \p Position; the first few are near the minimum.
  uint32_t at(uint32_t Position) const { return this->Items[Position].second; }

  /// Inserts \p Index or changes its key.
  void set(uint32_t Index, const Key &K) {
    if (!this->contains(Index)) {
      this->Places[Index] = this->size();
      this->Items.emplace_back(K, Index);
      this->siftUp(this->size() - 1);
      return;
    }
    uint32_t Place = this->Places[Index];
    this->Items[Place].first = K;
    this->siftUp(Place);
    this->siftDown(this->Places[Index]);
  }

  void remove(uint32_t Index) {
    if (!this->contains(Index)) {
      return;
    }
    uint32_t Place = this->Places[Index];
    uint32_t Last = this->size() - 1;
    if (Place != Last) {
      this->swapPlaces(Place, Last);
    }
    this->Items.pop_back();
    this->Places[Index] = Absent;
    if (Place != Last) {
      uint32_t Moved = this->Items[Place].second;
      this->siftUp(Place);
      this->siftDown(this->Places[Moved]);
    }
  }

private:
  static constexpr uint32_t Absent = UINT32_MAX;

  void swapPlaces(uint32_t A, uint32_t B) {
    std::swap(this->Items[A], this->Items[B]);
    this->Places[this->Items[A].second] = A;
    this->Places[this->Items[B].second] = B;
  }

  void siftUp(uint32_t Place) {
    while (Place > 0) {
      uint32_t Parent = (Place - 1) / 2;
      if (!(this->Items[Place].first < this->Items[Parent].first)) {
        return;
      }
      this->swapPlaces(Place, Parent);
      Place = Parent;
    }
  }

  void siftDown(uint32_t Place) {
    while (true) {
      uint32_t Child = 2 * Place + 1;
      if (Child >= this->size()) {
        return;
      }
      if (Child + 1 < this->size() &&
          this->Items[Child + 1].first < this->Items[Child].first) {
        ++Child;
      }
      if (!(this->Items[Child].first < this->Items[Place].first)) {
        return;
      }
      this->swapPlaces(Place, Child);
      Place = Child;
    }
  }

  std::vector<std::pair<Key, uint32_t>> Items;
  std::vector<uint32_t> Places;
};

} // namespace shallotlatch
