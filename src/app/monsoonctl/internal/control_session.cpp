#include "app/monsoonctl/control_session.h"

namespace monsoonlift::monsoonctl {

control_session::control_session(const std::string& platform_address)
    : m_context(1), m_timer(m_context.get_executor()), m_http(m_context.get_executor()),
      m_api(m_context.get_executor(), std::make_shared<store::service_address>(platform_address)) {}

void control_session::run() {
    m_context.restart();
    m_context.run();
}

} // namespace monsoonlift::monsoonctl
