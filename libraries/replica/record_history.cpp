// A queue of consecutive records, bounded by their total size.

#include "replica/record_history.h"

namespace wigeon {

void record_history::add(std::uint64_t offset, std::string record)
{
    if (offset != this->first_offset + this->records.size()) {
        this->records.clear();
        this->total_bytes = 0;
    }
    if (this->records.empty())
        this->first_offset = offset;
    this->total_bytes += record.size();
    this->records.push_back(std::move(record));
    while (this->total_bytes > this->max_bytes) {
        this->total_bytes -= this->records.front().size();
        this->records.pop_front();
        ++this->first_offset;
    }
}

LogPage record_history::make_page(std::uint64_t from) const
{
    LogPage page;
    if (from < this->first_offset)
        return page;
    page.set_first_offset(from);
    for (std::size_t i = from - this->first_offset; i < this->records.size(); ++i)
        page.add_records(this->records[i]);
    return page;
}

} // namespace wigeon
