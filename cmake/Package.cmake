# GCC 12 reports moved-from std::variant alternatives as uninitialized.
set(ZC_WARNINGS -Wall -Wextra -Werror -Wno-maybe-uninitialized)

if(NOT ZINNIACART_NODE_ONLY)
  enable_testing()
  find_package(PkgConfig REQUIRED)
  pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
endif()

# zinniacart_package(<name> DEPENDS <packages...> LIBRARIES <targets...>)
# Declares one package: a static library of the folder's sources, and, where
# the folder has tests, one CppUTest program registered with CTest.
function(zinniacart_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  add_library(zc_${NAME} STATIC ${SOURCES})
  target_include_directories(zc_${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/packages)
  target_compile_options(zc_${NAME} PRIVATE ${ZC_WARNINGS})
  foreach(DEPENDENCY ${ARG_DEPENDS})
    if(NOT TARGET zc_${DEPENDENCY})
      message(FATAL_ERROR "package ${NAME} depends on ${DEPENDENCY}, which is not above it")
    endif()
    target_link_libraries(zc_${NAME} PUBLIC zc_${DEPENDENCY})
  endforeach()
  target_link_libraries(zc_${NAME} PUBLIC ${ARG_LIBRARIES})

  file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(TESTS AND NOT ZINNIACART_NODE_ONLY)
    add_executable(${NAME}_tests ${TESTS} ${PROJECT_SOURCE_DIR}/cmake/test_main.cc)
    target_compile_options(${NAME}_tests PRIVATE ${ZC_WARNINGS})
    # The leak detector redefines "new", which breaks standard headers.
    target_compile_definitions(${NAME}_tests PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    target_link_libraries(${NAME}_tests PRIVATE zc_${NAME} PkgConfig::CPPUTEST)
    add_test(NAME ${NAME} COMMAND ${NAME}_tests)
  endif()
endfunction()
