// A table of numbered rows that are added and removed in blocks of consecutive numbers. Numbers without a row cost
// nothing.

#pragma once

#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <span>
#include <type_traits>
#include <utility>
#include <vector>

#include <boost/iterator/iterator_facade.hpp>

namespace wigeon {

// References to rows stay valid until their block is removed.
template <typename row_type>
class row_blocks {
    using block_map = std::map<std::uint32_t, std::vector<row_type>>;

    // Visits all rows in the order of their numbers.
    template <typename value_type, typename block_iterator>
    class row_iterator : public boost::iterator_facade<row_iterator<value_type, block_iterator>, value_type,
                                                       std::forward_iterator_tag> {
    public:
        row_iterator() = default;
        explicit row_iterator(block_iterator first_block) : block(first_block) {}

    private:
        friend class boost::iterator_core_access;

        value_type& dereference() const { return this->block->second[this->position]; }
        bool equal(const row_iterator& other) const
        {
            return this->block == other.block && this->position == other.position;
        }
        void increment()
        {
            if (++this->position < this->block->second.size())
                return;
            ++this->block;
            this->position = 0;
        }

        block_iterator block;
        std::size_t position = 0; // In the block.
    };

public:
    using iterator = row_iterator<row_type, typename block_map::iterator>;
    using const_iterator = row_iterator<const row_type, typename block_map::const_iterator>;

    // Adds rows with the numbers from `first_row` on; there must be at least one, and none may exist.
    std::span<row_type> add(std::uint32_t first_row, std::vector<row_type> rows)
    {
        this->row_count += rows.size();
        return this->blocks.insert_or_assign(first_row, std::move(rows)).first->second;
    }

    // Removes the block that was added with this first row.
    void remove(std::uint32_t first_row)
    {
        this->row_count -= this->block(first_row).size();
        this->blocks.erase(first_row);
    }

    // The rows that were added with this first row; none if there is no such block.
    std::span<row_type> block(std::uint32_t first_row)
    {
        const auto found = this->blocks.find(first_row);
        return found == this->blocks.end() ? std::span<row_type>{} : std::span<row_type>(found->second);
    }
    [[nodiscard]] std::span<const row_type> block(std::uint32_t first_row) const
    {
        const auto found = this->blocks.find(first_row);
        return found == this->blocks.end() ? std::span<const row_type>{} : std::span<const row_type>(found->second);
    }

    // Returns null if there is no row of this number.
    row_type* find(std::uint32_t row) { return const_cast<row_type*>(std::as_const(*this).find(row)); }
    [[nodiscard]] const row_type* find(std::uint32_t row) const
    {
        auto after = this->blocks.upper_bound(row);
        if (after == this->blocks.begin())
            return nullptr;
        --after;
        const std::size_t position = row - after->first;
        return position < after->second.size() ? &after->second[position] : nullptr;
    }

    // The row must exist.
    row_type& operator[](std::uint32_t row) { return *this->find(row); }
    const row_type& operator[](std::uint32_t row) const { return *this->find(row); }

    [[nodiscard]] std::size_t size() const { return this->row_count; }
    [[nodiscard]] bool empty() const { return this->row_count == 0; }

    iterator begin() { return iterator(this->blocks.begin()); }
    iterator end() { return iterator(this->blocks.end()); }
    [[nodiscard]] const_iterator begin() const { return const_iterator(this->blocks.begin()); }
    [[nodiscard]] const_iterator end() const { return const_iterator(this->blocks.end()); }

private:
    block_map blocks; // By first row. They don't overlap, and none is empty.
    std::size_t row_count = 0;
};

} // namespace wigeon
