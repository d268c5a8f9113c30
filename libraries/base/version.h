// The version that every program prints.

#pragma once

namespace wigeon {

constexpr const char* version_text = "wigeoncourse 0.1.0";

} // namespace wigeon
