// A bounded queue between threads. A full ring rejects the item in try_push(), and the caller counts the rejection:
// the system has no unbounded queues.

#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace wigeon {

template <typename Item>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : slots(capacity) {}

    // Returns false when the ring is full or closed.
    bool try_push(Item item)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->closed || this->count == this->slots.size())
                return false;
            this->slots[(this->head + this->count) % this->slots.size()] = std::move(item);
            ++this->count;
        }
        this->not_empty.notify_one();
        return true;
    }

    // Blocks while the ring is full. Returns false when the ring is closed.
    bool push(Item item)
    {
        {
            std::unique_lock lock(this->mutex);
            this->not_full.wait(lock, [this] { return this->closed || this->count < this->slots.size(); });
            if (this->closed)
                return false;
            this->slots[(this->head + this->count) % this->slots.size()] = std::move(item);
            ++this->count;
        }
        this->not_empty.notify_one();
        return true;
    }

    // Waits for an item. Returns nothing after `timeout`, or at once when the ring is closed and empty.
    std::optional<Item> pop(std::chrono::milliseconds timeout)
    {
        std::optional<Item> item;
        {
            std::unique_lock lock(this->mutex);
            this->not_empty.wait_for(lock, timeout, [this] { return this->closed || this->count > 0; });
            if (this->count == 0)
                return std::nullopt;
            item = std::move(this->slots[this->head]);
            this->slots[this->head] = Item{};
            this->head = (this->head + 1) % this->slots.size();
            --this->count;
        }
        this->not_full.notify_one();
        return item;
    }

    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
        }
        this->not_empty.notify_all();
        this->not_full.notify_all();
    }

    [[nodiscard]] bool is_closed() const
    {
        const std::lock_guard lock(this->mutex);
        return this->closed;
    }

private:
    mutable std::mutex mutex;
    std::condition_variable not_empty;
    std::condition_variable not_full;
    std::vector<Item> slots;
    std::size_t head = 0;
    std::size_t count = 0; // At most slots.size().
    bool closed = false;   // Never reopened.
};

} // namespace wigeon
