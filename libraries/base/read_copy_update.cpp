#include <base/read_copy_update.hpp>

#include <urcu/urcu-memb.h>

#include <utility>

namespace base {

namespace {

class thread_registration {
public:
    thread_registration() { urcu_memb_register_thread(); }
    ~thread_registration() { urcu_memb_unregister_thread(); }
    thread_registration(const thread_registration&) = delete;
    thread_registration& operator=(const thread_registration&) = delete;
    thread_registration(thread_registration&&) = delete;
    thread_registration& operator=(thread_registration&&) = delete;
};

void register_this_thread() {
    thread_local const thread_registration registration;
    static_cast<void>(registration);
}

// `head_` is the first member, so that `free_retired` can cast its address to the address of the object.
struct retired_object {
    rcu_head head_{};
    std::shared_ptr<const void> object_;
};

void free_retired(rcu_head* head) {
    const std::unique_ptr<retired_object> owned{reinterpret_cast<retired_object*>(head)};
}

} // namespace

read_section::read_section() noexcept {
    register_this_thread();
    urcu_memb_read_lock();
}

read_section::~read_section() {
    urcu_memb_read_unlock();
}

void retire(std::shared_ptr<const void> object) {
    register_this_thread();
    auto owned = std::make_unique<retired_object>();
    owned->object_ = std::move(object);
    urcu_memb_call_rcu(&owned.release()->head_, free_retired);
}

void wait_for_retired() {
    register_this_thread();
    urcu_memb_barrier();
}

} // namespace base
